package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
	"gopkg.in/ini.v1"

	"redwingloft/internal/data/trace"
	"redwingloft/internal/service/replay"
	"redwingloft/pkg/api"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "send the requests of a trace and compare the outcomes with the stated ones",
		ArgsUsage: "TRACE",
		Description: "Prints attainment and cost by stage. The exit code is 0 only where every stated\n" +
			"outcome held.",
		Flags: callerFlags(
			&cli.StringFlag{Name: "credentials", Usage: "INI `file` with a section [credentials] of workspace = token", Required: true},
			&cli.FloatFlag{Name: "speed", Usage: "`factor` on the pace of the trace", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		),
		Action: runReplay,
	}
}

func runReplay(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("replay takes one trace")
	}
	caller, err := newCallerClient(c)
	if err != nil {
		return err
	}
	options := replay.Options{Speed: c.Float("speed"), Hosts: caller.Hosts, Scheme: caller.Scheme, TLS: caller.TLS}
	if options.Trace, err = readTrace(c.Args().First()); err != nil {
		return err
	}
	if options.Tokens, err = readCredentials(c.String("credentials")); err != nil {
		return err
	}
	report, err := replay.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		err = report.Write(c.Root().Writer)
	}
	if err == nil && len(report.Faults) > 0 {
		err = fmt.Errorf("%d of %d stated outcomes did not hold", len(report.Faults), report.Total.Requests)
	}
	return err
}

func readTrace(path string) (*trace.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	t, err := trace.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

func readCredentials(path string) (map[api.WorkspaceName]string, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(file.Section("credentials").Keys()) == 0 {
		return nil, fmt.Errorf("%s: a section [credentials] with workspace = token is missing", path)
	}
	tokens := map[api.WorkspaceName]string{}
	for _, key := range file.Section("credentials").Keys() {
		tokens[api.WorkspaceName(key.Name())] = key.String()
	}
	return tokens, nil
}
