package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/pkg/api"
)

// commandTimeout bounds one request of a client subcommand that has no deadline of its own.
const commandTimeout = 5 * time.Second

func hostFlag() cli.Flag {
	return &cli.StringFlag{Name: "host", Usage: "caller `address` of any entry host", Value: "127.0.0.1:8080"}
}

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "list the entry hosts that callers should use",
		Flags: []cli.Flag{
			hostFlag(),
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the caller"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action:   listHosts,
		Commands: []*cli.Command{hostsRemoveCommand()},
	}
}

func listHosts(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	target := "http://" + c.String("host") + api.PathHosts + "?data_centre=" + url.QueryEscape(c.String("data-centre"))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var list api.AddressList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return fmt.Errorf("the answer of %s is not valid: %w", c.String("host"), err)
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(list)
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tADDRESS\tDATA CENTRE")
	for _, host := range list.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\n", host.Host, host.Address, host.DataCentre)
	}
	return table.Flush()
}
