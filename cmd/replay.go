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
		Usage:     "send the requests of a trace and compare the outcomes with the expected ones",
		ArgsUsage: "TRACE",
		Description: "Prints attainment and cost by stage. The exit code is 0 only if every outcome is the\n" +
			"expected one.",
		Flags: callerFlags(
			&cli.StringFlag{Name: "credentials", Usage: "INI `file` with a section [credentials] of workspace = token", Required: true},
			&cli.FloatFlag{Name: "speed", Usage: "`factor` applied to the speed of the trace", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		),
		Action: runReplay,
	}
}

func runReplay(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("replay expects one TRACE")
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
	if err == nil && len(report.Mismatches) > 0 {
		err = fmt.Errorf("%d of %d outcomes differ from the expected ones", len(report.Mismatches), report.Total.Requests)
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
		return nil, fmt.Errorf("%s: the section [credentials] with workspace = token is missing or empty", path)
	}
	tokens := map[api.WorkspaceName]string{}
	for _, key := range file.Section("credentials").Keys() {
		tokens[api.WorkspaceName(key.Name())] = key.String()
	}
	return tokens, nil
}
