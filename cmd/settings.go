package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/settings"
)

// settingsFlag returns the flag for the path of the settings file.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "path of the INI `file`", Value: "app.ini"}
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:   "settings",
		Usage:  "commands for the settings file",
		Action: requireSubcommand,
		Commands: []*cli.Command{{
			Name:   "check",
			Usage:  "check a settings file and list all its faults",
			Flags:  []cli.Flag{settingsFlag()},
			Action: checkSettings,
		}},
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	_, err := settings.Load(path)
	var faults *settings.FaultsError
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			fmt.Fprintln(c.Root().Writer, fault)
		}
		return fmt.Errorf("%s is not valid; faults: %d", path, len(faults.Faults))
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s is valid\n", path)
	return err
}
