// Package cmd holds the subcommands of redwingloft, one file each.
package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// requireSubcommand is the action of a command that only has subcommands.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return fmt.Errorf("unknown command %q; see %s --help", name, c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "redwingloft",
		Usage: "serves multi-stage model pipelines",
		// Without an action, an unknown command prints "No help topic" and exits with 3.
		Action: requireSubcommand,
		Commands: []*cli.Command{
			serveCommand(),
			entryCommand(),
			settingsCommand(),
			configCommand(),
			hostsCommand(),
			quarantineCommand(),
			explainCommand(),
			callCommand(),
			replayCommand(),
			versionCommand(),
		},
	}
}
