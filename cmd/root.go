// Package cmd holds the subcommands of redwingloft, one file each.
package cmd

import "github.com/urfave/cli/v3"

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "redwingloft",
		Usage: "serves multi-stage model pipelines",
		Commands: []*cli.Command{
			serveCommand(),
			settingsCommand(),
			configCommand(),
			hostsCommand(),
			callCommand(),
			replayCommand(),
			versionCommand(),
		},
	}
}
