// Command standin runs stand-ins of the platform: the key-value service, the host
// list, engines, encoders, retrievers, rerankers and HTTP services. It also runs
// demonstrations and measurements against them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/document"
	"redwingloft/standin/fleet"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := newRootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newRootCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "stand-ins of the platform for tests, demonstrations and measurements",
		Commands: []*cli.Command{
			{
				Name:   "key-value",
				Usage:  "run a key-value service",
				Flags:  []cli.Flag{listenFlag("127.0.0.1:2379"), controlFlag()},
				Action: runKeyValue,
			},
			{
				Name:  "deployment",
				Usage: "run all upstreams of a document, and optionally the host list and the key-value service",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "document", Usage: "path of the document `file`", Required: true},
					&cli.StringFlag{Name: "key-value", Usage: "`address` for the key-value service; empty disables it"},
					&cli.StringFlag{Name: "host-list", Usage: "`address` for the host list; empty disables it"},
					&cli.DurationFlag{Name: "host-list-lag", Usage: "delay before a change of the host list is visible", Value: 5 * time.Second},
					&cli.DurationFlag{Name: "step-time", Usage: "time of a decoding step", Value: 2 * time.Millisecond},
					&cli.DurationFlag{Name: "prefill-time", Usage: "time for a thousand uncached prompt tokens", Value: 20 * time.Millisecond},
					&cli.DurationFlag{Name: "stage-time", Usage: "time of an embedding, search or rerank", Value: 3 * time.Millisecond},
					&cli.DurationFlag{Name: "service-time", Usage: "time of a call of an HTTP service", Value: 3 * time.Millisecond},
					&cli.IntFlag{Name: "cache-tokens", Usage: "size of each engine's prefix cache", Value: 20_000},
					controlFlag(),
				},
				Action: runDeployment,
			},
			demoCommand(),
			platformCommand(),
			traceCommand(),
			failuresCommand(),
			footprintCommand(),
			benchCommand(),
		},
	}
}

func listenFlag(value string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "`address` to listen on", Value: value}
}

func controlFlag() cli.Flag {
	return &cli.StringFlag{Name: "control", Usage: "`address` for the control endpoint; empty disables it"}
}

func runKeyValue(ctx context.Context, c *cli.Command) error {
	f := &fleet.Fleet{}
	if err := f.StartKeyValue(c.String("listen")); err != nil {
		return err
	}
	return runUntilDone(ctx, c, f)
}

func runDeployment(ctx context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.String("document"))
	if err != nil {
		return err
	}
	doc, err := document.Parse(data)
	if err != nil {
		return err
	}
	f := &fleet.Fleet{Speed: fleet.Speed{
		StepTime: c.Duration("step-time"), PrefillTime: c.Duration("prefill-time"),
		StageTime: c.Duration("stage-time"), ServiceTime: c.Duration("service-time"),
		CacheTokens: c.Int("cache-tokens"),
	}}
	if err := f.StartUpstreams(doc); err != nil {
		return err
	}
	if address := c.String("key-value"); address != "" {
		if err := f.StartKeyValue(address); err != nil {
			return err
		}
	}
	if address := c.String("host-list"); address != "" {
		if err := f.StartHostList(address, c.Duration("host-list-lag"), doc); err != nil {
			return err
		}
	}
	return runUntilDone(ctx, c, f)
}

// runUntilDone starts the control endpoint, prints "ready" and waits until ctx is canceled.
func runUntilDone(ctx context.Context, c *cli.Command, f *fleet.Fleet) error {
	if address := c.String("control"); address != "" {
		if err := f.Start(address, f.ControlHandler()); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.Root().Writer, "ready")
	f.Wait(ctx)
	return nil
}
