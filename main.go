// Command redwingloft serves multi-stage model pipelines.
package main

import (
	"context"
	"fmt"
	"os"

	"redwingloft/cmd"
)

func main() {
	if err := cmd.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "redwingloft:", err)
		os.Exit(1)
	}
}
