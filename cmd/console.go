package cmd

import (
	"context"
	"encoding/json"
	"slices"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/configuration"
	"redwingloft/internal/service/upstream"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
)

// newConsole assembles the operator side of a host.
func (h *host) newConsole() *console.Handler {
	revisions := &revisions{h.configuration}
	return &console.Handler{
		Config: console.Configuration{
			Snapshot: h.snapshots.Load, At: revisions.at, History: revisions.history, Commit: h.configuration.Commit,
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

// revisions reads earlier revisions from the key-value service.
type revisions struct{ *configuration.Service }

func (r *revisions) at(ctx context.Context, revision api.Revision) (*document.Document, error) {
	entry, err := r.Store.Get(ctx, r.Keys.History(revision))
	if err != nil {
		return nil, fault.Wrap(api.KindStoreUnavailable, err, "the revision can't be read")
	}
	if entry == nil {
		return nil, fault.New(api.KindNotFound, "revision %d does not exist", revision)
	}
	manifest, err := readManifest(*entry)
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(manifest.Document)
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "revision %d is not valid", revision)
	}
	return doc, nil
}

func (r *revisions) history(ctx context.Context, limit int) ([]console.Entry, error) {
	newest := api.Revision(0)
	if snapshot := r.Holder.Load(); snapshot != nil {
		newest = snapshot.Revision
	}
	from := api.Revision(max(1, int64(newest)-int64(limit)+1))
	entries, err := r.Store.List(ctx, r.Keys.HistoryPrefix(), r.Keys.History(from), 0)
	if err != nil {
		return nil, fault.Wrap(api.KindStoreUnavailable, err, "the history can't be read")
	}
	var list []console.Entry
	for _, entry := range entries {
		manifest, err := readManifest(entry)
		if err != nil {
			return nil, err
		}
		list = append(list, consoleEntry(manifest))
	}
	slices.Reverse(list)
	return list[:min(len(list), limit)], nil
}

func readManifest(entry store.Entry) (configuration.Manifest, error) {
	var manifest configuration.Manifest
	if err := json.Unmarshal(entry.Value, &manifest); err != nil {
		return manifest, fault.Wrap(api.KindInternal, err, "history entry %s is not valid", entry.Key)
	}
	return manifest, nil
}

func consoleEntry(m configuration.Manifest) console.Entry {
	return console.Entry{Revision: m.Revision, Author: m.Author, Time: m.Time, Comment: m.Comment}
}
