package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func configValidateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a document offline and list all its faults",
		ArgsUsage: "FILE",
		Action:    configValidate,
	}
}

func configValidate(_ context.Context, c *cli.Command) error {
	path, err := fileArgument(c)
	if err != nil {
		return err
	}
	doc, err := readDocument(path)
	if err != nil {
		return err
	}
	if faults := doc.Validate(); len(faults) > 0 {
		printFaults(c.Root().Writer, faults)
		return fmt.Errorf("%s has %d faults", path, len(faults))
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is valid\n", path)
	return err
}
