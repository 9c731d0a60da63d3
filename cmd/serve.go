package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
)

// Bounds of the HTTP servers. Answers have no write time-out: a stream may last as long as its deadline.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run an entry host",
		Flags:  []cli.Flag{settingsFlag()},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	host, err := newHost(s, logging.New(os.Stderr, s.Log.Level, string(s.Host.ID)))
	if err != nil {
		return err
	}
	var group run.Group
	host.addTo(ctx, &group)
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	err = errors.Join(group.Run(), host.close())
	if errors.Is(err, run.ErrSignal) {
		host.log.Info().Msg("stopped")
		return nil
	}
	return err
}

// addServer adds an HTTP server to the group.
func addServer(group *run.Group, listen string, tls settings.TLS, handler http.Handler) {
	server := &http.Server{
		Addr: listen, Handler: handler,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	group.Add(func() error {
		if tls.CertFile != "" {
			return fmt.Errorf("listener %s: %w", listen, server.ListenAndServeTLS(tls.CertFile, tls.KeyFile))
		}
		return fmt.Errorf("listener %s: %w", listen, server.ListenAndServe())
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		// The process ends next; an error changes nothing.
		_ = server.Shutdown(ctx)
	})
}
