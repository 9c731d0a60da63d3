package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
)

func hostsRemoveCommand() *cli.Command {
	return &cli.Command{
		Name:      "remove",
		Usage:     "take hosts whose processes have ended off the list of members",
		ArgsUsage: "HOST...",
		Description: "Hosts that are dead for a minute are removed by the others, as long as more than half of\n" +
			"the voters are left. Use this command where half or more were lost at once, and only\n" +
			"after you have made sure that the processes have ended: a host that still runs may\n" +
			"serve an older configuration. A host that is alive is refused.",
		Flags:  operatorFlags(),
		Action: removeHosts,
	}
}

func removeHosts(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("hosts remove takes the names of the hosts")
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	request := console.RemoveHostsRequest{}
	for _, host := range c.Args().Slice() {
		request.Hosts = append(request.Hosts, api.HostID(host))
	}
	var answer console.RemoveHostsResponse
	if err := client.do(ctx, http.MethodPost, console.PathRemoveHosts, request, &answer); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%d hosts removed\n", len(answer.Removed))
	return err
}
