package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/oklog/run"

	"redwingloft/internal/helper/dial"
	"redwingloft/internal/web/guard"
)

func (e *entryHost) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: entryReadHeaderTimeout, MaxHeaderBytes: dial.MaxHeaderBytes,
		// The server would answer OPTIONS * itself with 200.
		DisableGeneralOptionsHandler: true,
	}
}

// addListener adds a server with a guarded listener to the group; an empty address disables it.
func (e *entryHost) addListener(group *run.Group, address string, server *http.Server, guard *guard.Guard) {
	guard.Protect(server)
	e.addListenerFor(group, address, server, func(ctx context.Context, address string) (net.Listener, error) {
		listener, err := dial.ListenBounded(ctx, address, guard.Backlog())
		if err != nil {
			return nil, err
		}
		return guard.Listener(e.callerConns.Listener(listener)), nil
	})
}

// addPeerListener adds the server for other hosts to the group. Whole states are sent to them, over longer
// distances than to callers, so their send buffers are left to the kernel.
func (e *entryHost) addPeerListener(group *run.Group, address string, server *http.Server, guard *guard.Guard) {
	guard.Protect(server)
	e.addListenerFor(group, address, server, func(ctx context.Context, address string) (net.Listener, error) {
		listener, err := dial.Listen(ctx, address, guard.Backlog())
		if err != nil {
			return nil, err
		}
		return guard.Listener(listener), nil
	})
}

// addListenerFor adds a server to the group, whose listener is opened by listen.
func (e *entryHost) addListenerFor(group *run.Group, address string, server *http.Server, listen func(context.Context, string) (net.Listener, error)) {
	if address == "" {
		return
	}
	interrupted := make(chan struct{})
	group.Add(func() error {
		listener, err := listen(context.Background(), address)
		if err != nil {
			return fmt.Errorf("listener %s: %w", address, err)
		}
		err = server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			// A drain closes the listener before the process ends.
			<-interrupted
		}
		return fmt.Errorf("listener %s: %w", address, err)
	}, func(error) {
		close(interrupted)
		closeServer(server)
	})
}

// closeServer shuts a server down. Responses that are still being written have
// serverCloseTimeout to complete.
func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
	defer cancel()
	// The process exits next, so errors are ignored.
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// reportClosedConn returns a function that logs and counts connections that are closed because the caller
// or upstream at the other end does not read them.
func (e *entryHost) reportClosedConn(peer string) func(net.Addr, dial.CloseCause) {
	return func(address net.Addr, cause dial.CloseCause) {
		e.metrics.Counter("connections.closed." + peer + "." + string(cause)).Inc(1)
		e.log.Info().Str("peer", peer).Str("address", address.String()).Str("cause", string(cause)).Msg("connection_closed")
	}
}
