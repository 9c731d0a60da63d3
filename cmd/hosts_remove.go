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
		Usage:     "remove hosts whose processes have ended from the list of members",
		ArgsUsage: "HOST...",
		Description: "The other hosts remove a host that is dead for a minute, as long as more than half of the\n" +
			"voters remain. Use this command if half or more were lost at once, and only after\n" +
			"making sure that the processes have ended: a host that still runs may serve an older\n" +
			"configuration. The request is rejected for a host that is alive.",
		Flags:  operatorFlags(),
		Action: removeHosts,
	}
}

func removeHosts(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("hosts remove expects at least one host")
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	request := console.RemoveHostsRequest{}
	for _, host := range c.Args().Slice() {
		request.Hosts = append(request.Hosts, api.HostID(host))
	}
	var response console.RemoveHostsResponse
	if err := client.do(ctx, http.MethodPost, console.PathRemoveHosts, request, &response); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%d hosts removed\n", len(response.Removed))
	return err
}
