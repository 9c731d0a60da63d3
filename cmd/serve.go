package cmd

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
)

// Limits of the HTTP servers. The caller listener has no write timeout: a stream may last until its deadline.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// writeTimeout bounds the responses of the other listeners, which carry no streams.
	writeTimeout = 30 * time.Second
	// closeTimeout bounds the shutdown of a listener, which has no requests left after a drain.
	closeTimeout = time.Second
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "run an entry host",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runServe,
	}
}

func runServe(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	setMemoryLimit(s)
	host, err := newHost(s, logging.New(os.Stderr, s.Log.Level, string(s.Host.ID)))
	if err != nil {
		return err
	}
	var group run.Group
	host.addActors(ctx, &group)
	group.Add(host.signalActor(ctx))
	err = errors.Join(group.Run(), host.close())
	if errors.Is(err, errStopped) {
		host.log.Info().Msg("stopped")
		return nil
	}
	return err
}

// addServer adds an HTTP server to the group. The write timeout bounds each response; 0 means none.
func addServer(group *run.Group, listen string, tls settings.TLS, write time.Duration, handler http.Handler) {
	server := &http.Server{
		Addr: listen, Handler: handler,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, WriteTimeout: write,
	}
	group.Add(func() error {
		if tls.CertFile != "" {
			return fmt.Errorf("listener %s: %w", listen, server.ListenAndServeTLS(tls.CertFile, tls.KeyFile))
		}
		return fmt.Errorf("listener %s: %w", listen, server.ListenAndServe())
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// The process exits next, so errors are ignored.
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
}
