package cmd

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"redwingloft/pkg/api"
)

// documentMode restricts a written document to its owner, because it contains password hashes.
const documentMode = 0o600

func configShowCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the active document or that of an earlier revision",
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: "revision", Usage: "`number` of the revision; defaults to the active one"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "write the document to `file`"},
		),
		Action: configShow,
	}
}

func configShow(ctx context.Context, c *cli.Command) error {
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	doc, response, err := client.read(ctx, api.Revision(c.Uint64("revision")))
	if err != nil {
		return err
	}
	encoded, err := doc.Encode()
	if err != nil {
		return err
	}
	path := c.String("output")
	if path == "" {
		_, err = c.Root().Writer.Write(encoded)
		return err
	}
	if err := os.WriteFile(path, encoded, documentMode); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "revision %d written to %s\n", response.Revision, path)
	return err
}
