package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/pkg/api"
	"redwingloft/pkg/client"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "send one request to a pipeline or a service",
		ArgsUsage: "PIPELINE INPUT | SERVICE/CALL [BODY]",
		Description: "Fetches the address list from the given host, as every caller does. A service call is\n" +
			"retried under one idempotency key until a response arrives or the deadline passes.",
		Flags: callerFlags(
			&cli.StringFlag{Name: "workspace", Usage: "`name` of the workspace", Required: true},
			&cli.StringFlag{Name: "token", Usage: "credential of the workspace", Sources: cli.EnvVars("REDWINGLOFT_TOKEN")},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the caller"},
			&cli.DurationFlag{Name: "deadline", Usage: "time limit for the complete response", Value: 7 * time.Second},
			&cli.StringFlag{Name: "method", Usage: "HTTP method of a service call", Value: "POST"},
			&cli.StringFlag{Name: "key", Usage: "idempotency key of a service call, a UUID version 7; generated if empty"},
			&cli.BoolFlag{Name: "stream", Usage: "print the text of a pipeline as it arrives"},
		),
		Action: runCall,
	}
}

func runCall(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("deadline"))
	defer cancel()
	if c.String("token") == "" {
		return errors.New("no credential given; set REDWINGLOFT_TOKEN or --token")
	}
	caller, err := newCallerClient(c)
	if err != nil {
		return err
	}
	caller.Workspace, caller.Token = api.WorkspaceName(c.String("workspace")), c.String("token")
	defer caller.Close()
	target, rest := c.Args().First(), c.Args().Get(1)
	service, call, isService := strings.Cut(target, "/")
	switch {
	case isService && c.Args().Len() <= 2:
		return callService(ctx, c, caller, client.Order{
			Service: api.ServiceName(service), Call: api.CallName(call),
			Method: c.String("method"), Body: []byte(rest), Key: c.String("key"),
		})
	case !isService && c.Args().Len() == 2:
		return callPipeline(ctx, c, caller, api.PipelineName(target), rest)
	}
	return errors.New("call expects PIPELINE INPUT or SERVICE/CALL [BODY]")
}

func callService(ctx context.Context, c *cli.Command, caller *client.Client, order client.Order) error {
	response, err := caller.Call(ctx, order)
	if err != nil {
		return err
	}
	return json.NewEncoder(c.Root().Writer).Encode(response)
}

func callPipeline(ctx context.Context, c *cli.Command, caller *client.Client, pipeline api.PipelineName, input string) error {
	out := c.Root().Writer
	if c.Bool("stream") {
		_, err := caller.Stream(ctx, pipeline, api.RunRequest{Input: input}, func(event api.TokenEvent) error {
			_, err := fmt.Fprint(out, event.Text)
			return err
		})
		fmt.Fprintln(out)
		return err
	}
	response, err := caller.Run(ctx, pipeline, api.RunRequest{Input: input})
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(api.RunAnswer{
		RequestID: response.RequestID, Pipeline: pipeline, Version: response.Version,
		Text: response.Text, Tokens: response.Tokens, Stages: response.Stages,
	})
}
