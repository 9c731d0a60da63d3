package member

import (
	"context"
	"encoding/json"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// maxAttempts bounds the tries of a member document's compare-and-swap.
const maxAttempts = 10

// Register adds this host to the member document of its data centre and reads the
// documents and the manifest after that. A host at an address of this one is
// replaced: its process has ended, since the address is free.
func (s *Service) Register(ctx context.Context) error {
	documents, err := s.readDocuments(ctx)
	if err != nil {
		return err
	}
	first := newList(documents).voters == 0
	err = s.change(ctx, func(doc *Document) {
		own := s.Self
		own.Voter = first
		kept := make([]Member, 0, len(doc.Members)+1)
		for _, member := range doc.Members {
			if sameSeat(member, s.Self) {
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

func sameSeat(a, b Member) bool {
	return a.Host == b.Host || a.Caller == b.Caller || a.Peer == b.Peer
}

// Leave removes this host from the member document of its data centre.
func (s *Service) Leave(ctx context.Context) error {
	return s.change(ctx, func(doc *Document) { doc.Members = without(doc.Members, s.Self.Host) })
}

func without(members []Member, host api.HostID) []Member {
	kept := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Host != host {
			kept = append(kept, member)
		}
	}
	return kept
}

// change applies f to the own member document until the compare-and-swap holds. F
// may run again after a lost reply, so a second run must change nothing.
func (s *Service) change(ctx context.Context, f func(*Document)) error {
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
		result, err := s.write(ctx, key, doc, version)
		switch {
		case store.IsErrUnknownOutcome(err):
			continue
		case err != nil:
			return fault.Wrap(api.KindStoreUnavailable, err, "the member document can't be written")
		case result.Applied:
			return nil
		}
	}
	return fault.New(api.KindConflict, "the member document changed %d times meanwhile", maxAttempts)
}

func (s *Service) write(ctx context.Context, key string, doc Document, version store.Version) (store.TxnResult, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return store.TxnResult{}, err
	}
	return s.Store.Txn(ctx, store.Txn{
		If:   []store.Compare{{Key: key, Version: version}},
		Puts: []store.Put{{Key: key, Value: value}},
	})
}

// maintain makes at most one due change of the member documents that this host
// looks after. Only a host in contact with a majority that uses the same list may
// do so: each list then shares a majority with the one before, and hosts that are
// cut off with an older list can't remain a majority of it without hearing of the newer one.
func (s *Service) maintain(ctx context.Context) {
	centre, version, f := s.due()
	if f == nil {
		return
	}
	if err := s.amend(ctx, centre, version, f); err != nil {
		s.logger().Warn().Str("data_centre", string(centre)).Err(err).Msg("member_document_not_changed")
	}
}

// due returns a change that is due, and the document and version to which it applies.
func (s *Service) due() (api.DataCentre, store.Version, func(*Document)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	at, contact := s.majorityProof()
	if !contact || now-at >= s.freshness() || s.draining.Load() {
		return "", 0, nil
	}
	for i := range s.list.members {
		member := s.list.members[i]
		f := s.dueFor(member, s.states[i], now)
		if f != nil && s.maintains(member.DataCentre, now) {
			return member.DataCentre, s.list.documents[member.DataCentre].Version, f
		}
	}
	return "", 0, nil
}

// dueFor returns the change that is due for one member, or nil. A dead host is
// marked first and removed after its freshness has surely expired: it may still
// read the store while no host hears it. The caller holds mu.
func (s *Service) dueFor(member Member, known state, now time.Duration) func(*Document) {
	self := member.Host == s.Self.Host
	alive := self || s.aliveAt(known.heard, now)
	dead := !self && now-max(known.heard, known.since) >= s.removal()
	quiet := now-s.listSince >= s.freshness()+s.margin()
	switch {
	case member.Removing && alive:
		return edit(member.Host, func(m *Member) { m.Removing = false })
	case member.Removing && quiet && dead:
		return func(doc *Document) { doc.Members = without(doc.Members, member.Host) }
	case !member.Removing && dead:
		return edit(member.Host, func(m *Member) { m.Removing = true })
	case !member.Voter && alive && !s.drained[member.Host]:
		return edit(member.Host, func(m *Member) { m.Voter = true })
	}
	return nil
}

func edit(host api.HostID, f func(*Member)) func(*Document) {
	return func(doc *Document) {
		for i := range doc.Members {
			if doc.Members[i].Host == host {
				f(&doc.Members[i])
			}
		}
	}
}

// maintains reports whether this host is the lowest-ranked live one of a data
// centre, or of all where the data centre has none. The caller holds mu.
func (s *Service) maintains(centre api.DataCentre, now time.Duration) bool {
	lowest, lowestOfAll := api.HostID(""), api.HostID("")
	for i, member := range s.list.members {
		if member.Host != s.Self.Host && (s.drained[member.Host] || !s.aliveAt(s.states[i].heard, now)) {
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

// amend changes a document that still has the given version.
func (s *Service) amend(ctx context.Context, centre api.DataCentre, version store.Version, f func(*Document)) error {
	s.mu.Lock()
	old := s.list.documents[centre]
	s.mu.Unlock()
	doc := Document{Members: append([]Member(nil), old.Members...)}
	f(&doc)
	result, err := s.write(ctx, s.Keys.Members(centre), doc, version)
	if err != nil {
		return err
	}
	if !result.Applied {
		return s.readAll(ctx)
	}
	s.Metrics.Counter("member.document_changes").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(map[api.DataCentre]Versioned{centre: {Document: doc, Version: result.Version}})
	return nil
}
