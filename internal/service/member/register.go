package member

import (
	"context"
	"encoding/json"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// maxAttempts bounds the attempts to change a member document by compare-and-swap.
const maxAttempts = 10

// Register adds this host to the member document of its data centre, and then reads the
// documents and the manifest. It replaces any host with an address of this one: the process
// of that host has ended, since the address is free.
func (s *Service) Register(ctx context.Context) error {
	documents, err := s.readDocuments(ctx)
	if err != nil {
		return err
	}
	first := newMemberList(documents).voters == 0
	err = s.updateOwnDocument(ctx, func(doc *Document) {
		own := s.Self
		own.Voter = first
		kept := make([]Member, 0, len(doc.Members)+1)
		for _, member := range doc.Members {
			if sameHostOrAddress(member, s.Self) {
				own.Voter = own.Voter || member.Voter
				continue
			}
			kept = append(kept, member)
		}
		doc.Members = append(kept, own)
	})
	if err != nil {
		return err
	}
	return s.readAll(ctx)
}

// sameHostOrAddress reports whether two members have the host id or an address in common.
func sameHostOrAddress(a, b Member) bool {
	return a.Host == b.Host || a.Caller == b.Caller || a.Peer == b.Peer
}

// Deregister removes this host from the member document of its data centre.
func (s *Service) Deregister(ctx context.Context) error {
	return s.updateOwnDocument(ctx, func(doc *Document) { doc.Members = withoutHost(doc.Members, s.Self.Host) })
}

func withoutHost(members []Member, host api.HostID) []Member {
	kept := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Host != host {
			kept = append(kept, member)
		}
	}
	return kept
}

// updateOwnDocument applies f to the member document of this host's data centre until the
// compare-and-swap succeeds. F may run again after a lost reply, so it must be idempotent.
func (s *Service) updateOwnDocument(ctx context.Context, f func(*Document)) error {
	key := s.Keys.Members(s.Self.DataCentre)
	for range maxAttempts {
		entry, err := s.Store.Get(ctx, key)
		if err != nil {
			return fault.Wrap(api.KindStoreUnavailable, err, "the member document can't be read")
		}
		var doc Document
		version := store.Version(0)
		if entry != nil {
			version = entry.Version
			if err := json.Unmarshal(entry.Value, &doc); err != nil {
				return fault.Wrap(api.KindInternal, err, "the member document is not valid")
			}
		}
		f(&doc)
		result, err := s.writeDocument(ctx, key, doc, version)
		switch {
		case store.IsErrUnknownOutcome(err):
			continue
		case err != nil:
			return fault.Wrap(api.KindStoreUnavailable, err, "the member document can't be written")
		case result.Applied:
			return nil
		}
	}
	return fault.New(api.KindConflict, "the member document changed %d times during the update", maxAttempts)
}

func (s *Service) writeDocument(ctx context.Context, key string, doc Document, version store.Version) (store.TxnResult, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return store.TxnResult{}, err
	}
	return s.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: key, Version: version}},
		Puts: []store.Put{{Key: key, Value: value}},
	})
}

// maintainDocuments makes at most one due change of the member documents that this host
// maintains. Only a host in contact with a majority that uses the same list may do so. Then
// each list shares a majority with the one before, and hosts that are partitioned with an older
// list can't remain a majority of it without learning of the newer one.
func (s *Service) maintainDocuments(ctx context.Context) {
	centre, version, f := s.dueChange()
	if f == nil {
		return
	}
	if err := s.updateDocument(ctx, centre, version, f); err != nil {
		s.logger().Warn().Str("data_centre", string(centre)).Err(err).Msg("member_document_not_changed")
	}
}

// dueChange returns a change that is due, and the document and version to which it applies.
func (s *Service) dueChange() (api.DataCentre, store.Version, func(*Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	at, contact := s.majorityConfirmedAt()
	if !contact || now-at >= s.freshness() || s.draining.Load() {
		return "", 0, nil
	}
	for i := range s.list.members {
		member := s.list.members[i]
		f := s.dueMemberChange(member, s.states[i], now)
		if f != nil && s.isMaintainer(member.DataCentre, now) {
			return member.DataCentre, s.list.documents[member.DataCentre].Version, f
		}
	}
	return "", 0, nil
}

// dueMemberChange returns the change that is due for one member, or nil. A dead host is first
// marked, and removed when its freshness has certainly expired: it may still read the store
// while no other host hears from it. The caller holds mu.
func (s *Service) dueMemberChange(member Member, known memberState, now time.Duration) func(*Document) {
	self := member.Host == s.Self.Host
	alive := self || s.isAlive(known.lastHeard, now)
	dead := !self && now-max(known.lastHeard, known.knownSince) >= s.removal()
	listSettled := now-s.listSince >= s.freshness()+s.clockDriftMargin()
	switch {
	case member.Removing && alive:
		return editMember(member.Host, func(m *Member) { m.Removing = false })
	case member.Removing && listSettled && dead:
		return func(doc *Document) { doc.Members = withoutHost(doc.Members, member.Host) }
	case !member.Removing && dead:
		return editMember(member.Host, func(m *Member) { m.Removing = true })
	case !member.Voter && alive && !s.drainingHosts[member.Host]:
		return editMember(member.Host, func(m *Member) { m.Voter = true })
	}
	return nil
}

// editMember returns a change that applies f to one member.
func editMember(host api.HostID, f func(*Member)) func(*Document) {
	return func(doc *Document) {
		for i := range doc.Members {
			if doc.Members[i].Host == host {
				f(&doc.Members[i])
			}
		}
	}
}

// isMaintainer reports whether this host is the live one with the lowest id in a data centre,
// or in all data centres if that one has no live host. The caller holds mu.
func (s *Service) isMaintainer(centre api.DataCentre, now time.Duration) bool {
	lowest, lowestOfAll := api.HostID(""), api.HostID("")
	for i, member := range s.list.members {
		if member.Host != s.Self.Host && (s.drainingHosts[member.Host] || !s.isAlive(s.states[i].lastHeard, now)) {
			continue
		}
		if lowestOfAll == "" {
			lowestOfAll = member.Host
		}
		if lowest == "" && member.DataCentre == centre {
			lowest = member.Host
		}
	}
	if lowest == "" {
		lowest = lowestOfAll
	}
	return lowest == s.Self.Host
}

// updateDocument applies f to a document if it still has the given version.
func (s *Service) updateDocument(ctx context.Context, centre api.DataCentre, version store.Version, f func(*Document)) error {
	s.mu.Lock()
	old := s.list.documents[centre]
	s.mu.Unlock()
	doc := Document{Members: append([]Member(nil), old.Members...)}
	f(&doc)
	result, err := s.writeDocument(ctx, s.Keys.Members(centre), doc, version)
	if err != nil {
		return err
	}
	if !result.Applied {
		return s.readAll(ctx)
	}
	s.Metrics.Counter("member.document_changes").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergeDocuments(map[api.DataCentre]VersionedDocument{centre: {Document: doc, Version: result.Version}})
	return nil
}
