package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// commandTimeout bounds one request of a client subcommand that has no deadline of its own.
const commandTimeout = 5 * time.Second

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "list the entry hosts that callers should use",
		Flags: callerFlags(
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the caller"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		),
		Action:   listHosts,
		Commands: []*cli.Command{hostsRemoveCommand()},
	}
}

func listHosts(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	caller, err := newCallerClient(c)
	if err != nil {
		return err
	}
	defer caller.Close()
	hosts, err := caller.List(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(hosts)
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tADDRESS\tDATA CENTRE")
	for _, host := range hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\n", host.Host, host.Address, host.DataCentre)
	}
	return table.Flush()
}
