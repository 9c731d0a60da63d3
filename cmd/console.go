package cmd

import (
	"context"

	"redwingloft/internal/service/upstream"
	"redwingloft/internal/web/console"
)

// newConsole assembles the operator side of a host.
func (h *host) newConsole() *console.Handler {
	return &console.Handler{
		Config: console.Configuration{
			Snapshot: h.snapshots.Load, At: h.configuration.At, History: h.history, Commit: h.configuration.Commit,
		},
		Status: h.status, Key: sealKey(h.settings.Peer.Secret), Session: h.settings.Operator.Session,
		Secure: h.settings.Operator.TLS.CertFile != "", Log: h.log,
	}
}

// status reports on the site as this host sees it.
func (h *host) status() console.Status {
	status := console.Status{Host: h.settings.Host.ID, Counters: h.metrics.Counters()}
	snapshot := h.snapshots.Load()
	if snapshot == nil {
		return status
	}
	status.Revision = snapshot.Revision
	for _, address := range h.members.Addresses(h.settings.Host.DataCentre).Hosts {
		host := console.HostStatus{Host: address.Host, DataCentre: address.DataCentre, Address: address.Address}
		if address.Host == h.settings.Host.ID {
			host.Revision, host.State = snapshot.Revision, "this host"
		}
		status.Hosts = append(status.Hosts, host)
	}
	for _, group := range snapshot.Document.Groups {
		for _, instance := range h.table.Group(group.Name) {
			status.Upstreams = append(status.Upstreams, console.UpstreamStatus{
				Upstream: instance.ID, Group: group.Name, State: upstreamState(instance), InFlight: instance.InFlight(),
			})
		}
	}
	return status
}

func upstreamState(instance *upstream.Instance) string {
	if instance.Available() {
		return "healthy"
	}
	return "ejected"
}

// history returns at most limit revisions, the newest first.
func (h *host) history(ctx context.Context, limit int) ([]console.Entry, error) {
	manifests, err := h.configuration.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	list := make([]console.Entry, 0, len(manifests))
	for _, m := range manifests {
		list = append(list, console.Entry{Revision: m.Revision, Author: m.Author, Time: m.Time, Comment: m.Comment})
	}
	return list, nil
}
