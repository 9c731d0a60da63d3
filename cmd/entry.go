package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
)

const (
	// gcPercent is the heap growth that triggers a collection. Hosts of the platform have
	// little memory and pay for its peak; their live heap is a few megabytes.
	gcPercent = 50
	// memoryLimitRatio is the part of the host's memory limit that is set as Go's soft memory limit.
	memoryLimitRatio = 0.7
	megabyte         = 1 << 20
	// logQueueLines bounds the queue of log lines to write; further lines are dropped and counted.
	logQueueLines = 2048
)

// settingsEnv is the environment variable with the path of the settings file, set by the platform.
const settingsEnv = "REDWINGLOFT_SETTINGS"

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:   "entry",
		Usage:  "run an entry host on the users' platform",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "path of the INI `file`", Sources: cli.EnvVars(settingsEnv)}},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(s)
	out := logging.NewQueue(os.Stdout, logQueueLines)
	e, err := newEntryHost(s, path, logging.New(out, s.Log.Level, string(s.Host.ID)))
	if err != nil {
		return err
	}
	e.metrics.GaugeFunc("log.dropped", out.Dropped)
	var group run.Group
	e.addActors(ctx, &group)
	err = group.Run()
	if errors.Is(err, errStopped) {
		e.log.Info().Msg("stopped")
		err = nil
	}
	return errors.Join(err, closeLog(out))
}

// setMemoryLimit sets Go's soft memory limit from the settings, if they have one.
func setMemoryLimit(s *settings.Settings) {
	if s.Host.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * s.Host.MemoryLimit * megabyte))
	}
}

func closeLog(out *logging.Queue) error {
	if err := out.Close(); err != nil {
		return fmt.Errorf("write the log: %w", err)
	}
	return nil
}
