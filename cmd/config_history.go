package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/web/console"
)

func configHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the revisions, newest first",
		Flags: operatorFlags(
			&cli.IntFlag{Name: "limit", Usage: "maximum `number` of revisions", Value: 20},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		),
		Action: configHistory,
	}
}

func configHistory(ctx context.Context, c *cli.Command) error {
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	var response console.HistoryResponse
	path := fmt.Sprintf("%s?limit=%d", console.PathHistory, c.Int("limit"))
	if err := client.do(ctx, http.MethodGet, path, nil, &response); err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(response)
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tTIME\tOPERATOR\tCOMMENT")
	for _, entry := range response.Revisions {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", entry.Revision, entry.Time.UTC().Format(time.RFC3339), entry.Author, entry.Comment)
	}
	return table.Flush()
}
