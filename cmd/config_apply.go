package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/document"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
)

func configApplyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "commit a document as a new revision",
		ArgsUsage: "FILE",
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: "base", Usage: "`number` of the revision on which FILE is based", Required: true},
			&cli.StringFlag{Name: "comment", Usage: "reason for the change, for the history"},
		),
		Action: configApply,
	}
}

func configApply(ctx context.Context, c *cli.Command) error {
	path, err := fileArgument(c)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	doc, err := readDocument(path)
	if err != nil {
		return err
	}
	base := api.Revision(c.Uint64("base"))
	var before *document.Document
	if base != 0 {
		if before, _, err = client.read(ctx, base); err != nil {
			return err
		}
	}
	out := c.Root().Writer
	changes := document.Diff(before, doc)
	printChanges(out, changes)
	if len(changes) == 0 {
		return nil
	}
	return client.commit(ctx, out, doc, before, console.CommitRequest{Base: base, Comment: c.String("comment")})
}

// commit sends the document. On a conflict it prints the changes committed since the base revision.
func (o *operatorClient) commit(ctx context.Context, out io.Writer, doc, before *document.Document, request console.CommitRequest) error {
	var err error
	if request.Document, err = json.Marshal(doc); err != nil {
		return err
	}
	var response console.CommitResponse
	err = o.do(ctx, http.MethodPost, console.PathConfig, request, &response)
	var apiError *api.Error
	switch {
	case err == nil:
		_, err = fmt.Fprintf(out, "revision %d is active\n", response.Revision)
		return err
	case errors.As(err, &apiError) && apiError.Kind == api.KindConflict:
		return errors.Join(err, o.printChangesSince(ctx, out, before))
	case errors.As(err, &apiError):
		printFaults(out, apiError.Faults)
	}
	return err
}

func (o *operatorClient) printChangesSince(ctx context.Context, out io.Writer, before *document.Document) error {
	current, response, err := o.read(ctx, 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "nothing was committed; revision %d is active, with these changes since the base:\n", response.Revision)
	printChanges(out, document.Diff(before, current))
	return nil
}
