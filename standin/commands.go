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

// benchTimeout bounds a bench, whose runs take about 80 s.
const benchTimeout = 120 * time.Second

// siteFlags name what the commands that run whole sites need.
func siteFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "binaries", Usage: "`folder` of the programs", Value: "bin"},
		&cli.StringFlag{Name: "deployments", Usage: "`folder` of the example deployments", Value: "deployments"},
	}, more...)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the example deployments on loopback against their recorded traces",
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
		Usage: "run the users' platform on loopback with one entry host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binaries", Usage: "`folder` of the programs", Value: "bin"},
			&cli.StringFlag{Name: "template", Usage: "settings template `file` of the entry host", Value: "deploy/entry.ini"},
			&cli.BoolFlag{Name: "once", Usage: "send a plain request and a stream, and end"},
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
		Usage: "write a trace with stated outcomes for the stand-ins of a document",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Usage: "path of the document `file`", Required: true},
			&cli.UintFlag{Name: "seed", Usage: "seed of the random numbers", Value: 1},
			&cli.FloatFlag{Name: "rate", Usage: "mean requests a second", Value: 40},
			&cli.DurationFlag{Name: "duration", Usage: "length of the trace", Value: 10 * time.Second},
			&cli.FloatFlag{Name: "service-share", Usage: "share of calls of plain services", Value: 0.3},
			&cli.FloatFlag{Name: "repeat-share", Usage: "share of orders sent twice under the same key", Value: 0.1},
			&cli.FloatFlag{Name: "burst", Usage: "factor on the rate in the middle fifth", Value: 1},
			&cli.IntFlag{Name: "topics", Usage: "number of different inputs of a pipeline and workspace", Value: 200},
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
	made := load.Generate(load.Options{
		Document: doc, Seed: uint64(c.Uint("seed")), Rate: c.Float("rate"), Duration: c.Duration("duration"),
		ServiceShare: c.Float("service-share"), RepeatShare: c.Float("repeat-share"),
		BurstFactor: c.Float("burst"), Topics: c.Int("topics"),
	})
	out, err := trace.NewWriter(c.Root().Writer, made.Deployment)
	if err != nil {
		return err
	}
	for _, entry := range made.Entries {
		if err := out.Write(entry); err != nil {
			return err
		}
	}
	return nil
}

func failuresCommand() *cli.Command {
	return &cli.Command{
		Name:  "failures",
		Usage: "measure attainment under single faults beside a run without one",
		Flags: siteFlags(
			&cli.StringFlag{Name: "deployment", Usage: "`name` of the deployment", Value: "greenhand"},
			&cli.UintFlag{Name: "seed", Usage: "seed of the trace", Value: 1},
			// 58 requests a second are 70% of what six engines with 8 slots and 580 ms an answer can do.
			&cli.FloatFlag{Name: "rate", Usage: "mean requests a second", Value: 58},
			&cli.DurationFlag{Name: "duration", Usage: "length of each run", Value: 12 * time.Second},
			&cli.StringFlag{Name: "only", Usage: "`name` of the one fault to measure"},
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
		Usage: "measure memory, processor time and messages of idle entry hosts by the size of the document",
		Flags: siteFlags(
			&cli.IntFlag{Name: "hosts", Usage: "entry hosts of each site", Value: 7},
			&cli.DurationFlag{Name: "duration", Usage: "length of each measurement", Value: 10 * time.Second},
			&cli.StringFlag{Name: "out", Usage: "JSON `file` to write"},
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
		Usage: "compare the policies of the request path with their plain versions",
		Flags: []cli.Flag{
			&cli.UintFlag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON in place of a table"},
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
