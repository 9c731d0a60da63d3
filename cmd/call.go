package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/pkg/api"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "send one request to a pipeline",
		ArgsUsage: "PIPELINE INPUT",
		Flags: []cli.Flag{
			hostFlag(),
			&cli.StringFlag{Name: "workspace", Usage: "`name` of the workspace", Required: true},
			&cli.StringFlag{Name: "token", Usage: "credential of the workspace", Sources: cli.EnvVars("REDWINGLOFT_TOKEN")},
			&cli.DurationFlag{Name: "deadline", Usage: "time for the whole answer", Value: 7 * time.Second},
			&cli.BoolFlag{Name: "stream", Usage: "print the events of a streamed answer"},
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("call takes a pipeline and an input")
	}
	body, err := json.Marshal(api.RunRequest{Input: c.Args().Get(1), Stream: c.Bool("stream")})
	if err != nil {
		return err
	}
	target := "http://" + c.String("host") + api.PathPipelines + c.Args().Get(0) + "/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.HeaderWorkspace, c.String("workspace"))
	request.Header.Set("Authorization", "Bearer "+c.String("token"))
	request.Header.Set(api.HeaderDeadline, strconv.FormatInt(c.Duration("deadline").Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(c.Root().Writer, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the host answered %d", response.StatusCode)
	}
	return nil
}
