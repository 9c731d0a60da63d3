package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/trace"
	"redwingloft/standin/demo"
	"redwingloft/standin/experiment"
	"redwingloft/standin/failure"
	"redwingloft/standin/footprint"
	"redwingloft/standin/load"
	"redwingloft/standin/platform"
)

// benchTimeout limits the bench command, which takes about 80 s.
const benchTimeout = 120 * time.Second

// siteFlags returns the flags shared by commands that run sites, followed by extra.
func siteFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "binaries", Usage: "`folder` of the programs", Value: "bin"},
		&cli.StringFlag{Name: "deployments", Usage: "`folder` of the example deployments", Value: "deployments"},
	}, extra...)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the example deployments on loopback and replay their recorded traces",
		Flags: siteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.Run(ctx, demo.Options{
				Binaries: c.String("binaries"), Folder: c.String("deployments"),
				Deployments: []string{"greenhand", "blue_mountain"}, Out: c.Root().Writer,
			})
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run stand-ins of the users' platform and one entry host on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binaries", Usage: "`folder` of the programs", Value: "bin"},
			&cli.StringFlag{Name: "template", Usage: "settings template `file` of the entry host", Value: "deploy/entry.ini"},
			&cli.BoolFlag{Name: "once", Usage: "send a buffered and a streaming request, then exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			site := &platform.Site{Binaries: c.String("binaries"), Template: c.String("template"), Out: c.Root().Writer}
			return site.Run(ctx, c.Bool("once"))
		},
	}
}

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:  "trace",
		Usage: "generate a trace with the outcomes expected from the stand-ins of a document",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Usage: "path of the document `file`", Required: true},
			&cli.UintFlag{Name: "seed", Usage: "seed of the random numbers", Value: 1},
			&cli.FloatFlag{Name: "rate", Usage: "mean requests per second", Value: 40},
			&cli.DurationFlag{Name: "duration", Usage: "length of the trace", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "service-share", Usage: "share of requests that call HTTP services", Value: 0.3},
			&cli.FloatFlag{Name: "repeat-share", Usage: "share of orders sent twice with the same idempotency key", Value: 0.1},
			&cli.FloatFlag{Name: "burst", Usage: "factor on the rate in the middle fifth of the trace", Value: 1},
			&cli.IntFlag{Name: "topics", Usage: "number of distinct inputs per pipeline and workspace", Value: 200},
		},
		Action: writeTrace,
	}
}

func writeTrace(_ context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.String("document"))
	if err != nil {
		return err
	}
	doc, err := document.Parse(data)
	if err != nil {
		return err
	}
	generated := load.Generate(load.Options{
		Document: doc, Seed: uint64(c.Uint("seed")), Rate: c.Float("rate"), Duration: c.Duration("duration"),
		ServiceShare: c.Float("service-share"), RepeatShare: c.Float("repeat-share"),
		BurstFactor: c.Float("burst"), Topics: c.Int("topics"),
	})
	writer, err := trace.NewWriter(c.Root().Writer, generated.Deployment)
	if err != nil {
		return err
	}
	for _, entry := range generated.Entries {
		if err := writer.Write(entry); err != nil {
			return err
		}
	}
	return nil
}

func failuresCommand() *cli.Command {
	return &cli.Command{
		Name:  "failures",
		Usage: "measure attainment under single faults, relative to a run without faults",
		Flags: siteFlags(
			&cli.StringFlag{Name: "deployment", Usage: "`name` of the deployment", Value: "greenhand"},
			&cli.UintFlag{Name: "seed", Usage: "seed of the trace", Value: 1},
			// 58 requests per second are 70% of the capacity of six engines with 8 slots and 580 ms per response.
			&cli.FloatFlag{Name: "rate", Usage: "mean requests per second", Value: 58},
			&cli.DurationFlag{Name: "duration", Usage: "length of each run", Value: 12 * time.Second},
			&cli.StringFlag{Name: "only", Usage: "`name` of the only fault to measure; empty measures all"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			_, err := failure.Run(ctx, failure.Options{
				Binaries: c.String("binaries"), Folder: c.String("deployments"), Deployment: c.String("deployment"),
				Seed: uint64(c.Uint("seed")), Rate: c.Float("rate"), Duration: c.Duration("duration"),
				Only: c.String("only"), Out: c.Root().Writer,
			})
			return err
		},
	}
}

func footprintCommand() *cli.Command {
	return &cli.Command{
		Name:  "footprint",
		Usage: "measure memory, CPU time and peer traffic of entry hosts, idle by document size and under load",
		Flags: siteFlags(
			&cli.IntFlag{Name: "hosts", Usage: "number of entry hosts of each idle site", Value: 7},
			&cli.DurationFlag{Name: "duration", Usage: "length of each measurement of an idle site", Value: 10 * time.Second},
			&cli.StringFlag{Name: "out", Usage: "JSON output `file`"},
		),
		Action: runFootprint,
	}
}

func runFootprint(ctx context.Context, c *cli.Command) error {
	report, err := footprint.Run(ctx, footprint.Options{
		Binaries: c.String("binaries"), Folder: c.String("deployments"), Hosts: c.Int("hosts"), Duration: c.Duration("duration"), Out: c.Root().Writer,
	})
	if err != nil || c.String("out") == "" {
		return err
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.String("out"), append(encoded, '\n'), 0o644)
}

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare the policies of the request path with baselines",
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "seed", Usage: "seed of the random arrivals", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, benchTimeout)
			defer cancel()
			result, err := experiment.Run(ctx, experiment.Options{Seed: uint64(c.Uint("seed"))})
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(result)
			}
			return result.Print(c.Root().Writer)
		},
	}
}
