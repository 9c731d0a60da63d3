package cmd

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/oklog/run"
	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/web/guard"
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
	// maxStreams and streamBuffer bound what one HTTP/2 connection, of a listener with TLS, makes a host
	// hold: request heads, and bytes that are received and not read.
	maxStreams   = 16
	streamBuffer = 64 << 10
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

// addServer adds an HTTP server with a guarded listener to the group. The write timeout bounds each
// response; 0 means none.
func addServer(group *run.Group, address string, tls settings.TLS, write time.Duration, guard *guard.Guard, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, WriteTimeout: write,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: streamBuffer, MaxReceiveBufferPerStream: streamBuffer,
		},
	}
	guard.Encrypted = tls.CertFile != ""
	guard.Protect(server)
	group.Add(func() error {
		listener, err := dial.ListenWithoutTimeouts(context.Background(), address, guard.Backlog())
		if err != nil {
			return fmt.Errorf("listener %s: %w", address, err)
		}
		listener = guard.Listener(listener)
		if tls.CertFile != "" {
			err = server.ServeTLS(listener, tls.CertFile, tls.KeyFile)
		} else {
			err = server.Serve(listener)
		}
		return fmt.Errorf("listener %s: %w", address, err)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		// The process exits next, so errors are ignored.
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
}

// setRetryAfter sets the time to retry in a header, in whole seconds.
func setRetryAfter(header http.Header, wait time.Duration) {
	header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(wait.Seconds())), 10))
}
