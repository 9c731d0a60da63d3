// Command standin runs stand-ins of the platform: the key-value service, the host
// list, engines, encoders, retrievers, rerankers and plain services.
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
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "stand-ins of the platform for tests and demonstrations",
		Commands: []*cli.Command{
			{
				Name:   "key-value",
				Usage:  "run a key-value service",
				Flags:  []cli.Flag{listenFlag("127.0.0.1:2379"), controlFlag()},
				Action: keyValue,
			},
			{
				Name:  "deployment",
				Usage: "run every upstream of a document, and optionally its host list and key-value service",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "document", Usage: "path of the document `file`", Required: true},
					&cli.StringFlag{Name: "key-value", Usage: "`address` of the key-value service; empty runs none"},
					&cli.StringFlag{Name: "host-list", Usage: "`address` of the host list; empty runs none"},
					&cli.DurationFlag{Name: "host-list-lag", Usage: "time after which a change of the host list shows", Value: 5 * time.Second},
					&cli.DurationFlag{Name: "step-time", Usage: "time of a decoding step", Value: 2 * time.Millisecond},
					&cli.DurationFlag{Name: "prefill-time", Usage: "time of a thousand uncached prompt tokens", Value: 20 * time.Millisecond},
					&cli.DurationFlag{Name: "stage-time", Usage: "time of an embedding, search or rerank", Value: 3 * time.Millisecond},
					&cli.DurationFlag{Name: "service-time", Usage: "time of a service call", Value: 3 * time.Millisecond},
					&cli.IntFlag{Name: "cache-tokens", Usage: "size of each engine's prefix cache", Value: 20_000},
					controlFlag(),
				},
				Action: deployment,
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
	return &cli.StringFlag{Name: "control", Usage: "`address` of the control endpoint; empty runs none"}
}

func keyValue(ctx context.Context, c *cli.Command) error {
	f := &fleet.Fleet{}
	if err := f.StartKeyValue(c.String("listen")); err != nil {
		return err
	}
	return run(ctx, c, f)
}

func deployment(ctx context.Context, c *cli.Command) error {
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
	return run(ctx, c, f)
}

// run starts the control endpoint and waits for the end of ctx.
func run(ctx context.Context, c *cli.Command, f *fleet.Fleet) error {
	if address := c.String("control"); address != "" {
		if err := f.Start(address, f.Control()); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.Root().Writer, "ready")
	f.Wait(ctx)
	return nil
}
