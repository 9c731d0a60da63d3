// Package member keeps the table of entry hosts.
package member

import (
	"context"
	"encoding/json"
	"sort"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// maxAttempts bounds the tries of a member document's compare-and-swap.
const maxAttempts = 10

// Member is one entry host.
type Member struct {
	Host       api.HostID     `json:"host"`
	Caller     api.Address    `json:"caller"`
	Peer       api.Address    `json:"peer"`
	DataCentre api.DataCentre `json:"data_centre"`
}

// Document is the value of a member document: the hosts of one data centre.
type Document struct {
	Members []Member `json:"members"`
}

// Service keeps the table of entry hosts.
type Service struct {
	Store    store.Store
	Keys     store.Keys
	Self     Member
	Validity time.Duration

	members atomic.Pointer[[]Member]
}

// Register adds this host to the member document of its data centre.
func (s *Service) Register(ctx context.Context) error {
	return s.change(ctx, func(doc *Document) { doc.Members = append(without(doc.Members, s.Self), s.Self) })
}

// Leave removes this host from the member document of its data centre.
func (s *Service) Leave(ctx context.Context) error {
	return s.change(ctx, func(doc *Document) { doc.Members = without(doc.Members, s.Self) })
}

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
		value, err := json.Marshal(doc)
		if err != nil {
			return err
		}
		result, err := s.Store.Txn(ctx, store.Txn{
			If:   []store.Compare{{Key: key, Version: version}},
			Puts: []store.Put{{Key: key, Value: value}},
		})
		if err != nil {
			return fault.Wrap(api.KindStoreUnavailable, err, "the member document can't be written")
		}
		if result.Applied {
			return nil
		}
	}
	return fault.New(api.KindConflict, "the member document changed %d times meanwhile", maxAttempts)
}

// without returns members without the one that has the host id or an address of gone.
func without(members []Member, gone Member) []Member {
	var kept []Member
	for _, member := range members {
		if member.Host != gone.Host && member.Caller != gone.Caller && member.Peer != gone.Peer {
			kept = append(kept, member)
		}
	}
	return kept
}

// Refresh reads all member documents.
func (s *Service) Refresh(ctx context.Context) error {
	entries, err := s.Store.List(ctx, s.Keys.MembersPrefix(), "", 0)
	if err != nil {
		return fault.Wrap(api.KindStoreUnavailable, err, "the member documents can't be read")
	}
	var members []Member
	for _, entry := range entries {
		var doc Document
		if err := json.Unmarshal(entry.Value, &doc); err != nil {
			return fault.Wrap(api.KindInternal, err, "member document %s is not valid", entry.Key)
		}
		members = append(members, doc.Members...)
	}
	s.members.Store(&members)
	return nil
}

// Addresses returns the hosts that callers in a data centre should use, best first.
func (s *Service) Addresses(from api.DataCentre) api.AddressList {
	list := api.AddressList{ValidForMs: s.Validity.Milliseconds()}
	members := s.members.Load()
	if members == nil {
		members = &[]Member{s.Self}
	}
	for _, member := range *members {
		list.Hosts = append(list.Hosts, api.HostAddress{Host: member.Host, Address: member.Caller, DataCentre: member.DataCentre})
	}
	sort.SliceStable(list.Hosts, func(i, j int) bool {
		return list.Hosts[i].DataCentre == from && list.Hosts[j].DataCentre != from
	})
	return list
}
