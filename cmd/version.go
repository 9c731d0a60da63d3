package cmd

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// version is set at build time with -ldflags "-X redwingloft/cmd.version=...".
var version = "dev"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of the program",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintf(c.Root().Writer, "redwingloft %s %s %s\n", version, runtime.Version(), commit())
			return err
		},
	}
}

// commit returns the VCS revision recorded by the Go toolchain, or "unknown".
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown"
}
