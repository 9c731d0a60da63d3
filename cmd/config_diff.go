package cmd

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

func configDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "print the changes from the active document to FILE, or between two revisions",
		ArgsUsage: "[FILE]",
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: "from", Usage: "`number` of the older revision; defaults to the active one"},
			&cli.Uint64Flag{Name: "to", Usage: "`number` of the newer revision, in place of FILE"},
		),
		Action: configDiff,
	}
}

func configDiff(ctx context.Context, c *cli.Command) error {
	if (c.Args().Len() == 1) == c.IsSet("to") || c.Args().Len() > 1 {
		return errors.New("diff expects either one FILE or --to")
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	from, _, err := client.read(ctx, api.Revision(c.Uint64("from")))
	if err != nil {
		return err
	}
	var to *document.Document
	if c.IsSet("to") {
		to, _, err = client.read(ctx, api.Revision(c.Uint64("to")))
	} else {
		to, err = readDocument(c.Args().First())
	}
	if err != nil {
		return err
	}
	printChanges(c.Root().Writer, document.Diff(from, to))
	return nil
}
