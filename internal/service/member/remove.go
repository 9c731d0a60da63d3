package member

import (
	"context"
	"encoding/json"
	"slices"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// Remove removes hosts from the member documents in one transaction, after an operator has
// confirmed that their processes have ended. It is the way to recover if half of the voters
// or more were lost at once: the remaining hosts may not remove them, because they can't tell
// ended processes from a partition. If no voter remains, all remaining hosts become voters.
// Hosts that are live here are refused.
func (s *Service) Remove(ctx context.Context, hosts []api.HostID) error {
	for _, host := range hosts {
		if s.IsLive(host) {
			return fault.New(api.KindConflict, "host %s is alive; stop it before it is removed", host)
		}
	}
	documents, err := s.readDocuments(ctx)
	if err != nil {
		return err
	}
	txn, err := s.removalTxn(documents, hosts)
	if err != nil {
		return err
	}
	result, err := s.Store.Txn(ctx, txn)
	switch {
	case store.IsErrUnknownOutcome(err):
		return fault.Wrap(api.KindStoreOutcomeUnknown, err, "the hosts may have been removed")
	case err != nil:
		return fault.Wrap(api.KindStoreUnavailable, err, "the hosts were not removed")
	case !result.Applied:
		return fault.New(api.KindConflict, "the member documents changed during the removal")
	}
	s.logger().Warn().Int("hosts", len(hosts)).Msg("hosts_removed_by_operator")
	return s.readAll(ctx)
}

// removalTxn returns the transaction that removes hosts from documents.
func (s *Service) removalTxn(documents map[api.DataCentre]VersionedDocument, hosts []api.HostID) (store.Txn, error) {
	found, voters := 0, 0
	for centre, doc := range documents {
		kept := slices.DeleteFunc(slices.Clone(doc.Members), func(m Member) bool { return slices.Contains(hosts, m.Host) })
		found += len(doc.Members) - len(kept)
		for _, member := range kept {
			if member.Voter {
				voters++
			}
		}
		doc.Members = kept
		documents[centre] = doc
	}
	if found != len(hosts) {
		return store.Txn{}, fault.New(api.KindNotFound, "%d of the %d hosts are not registered", len(hosts)-found, len(hosts))
	}
	txn := store.Txn{}
	for centre, doc := range documents {
		for i := range doc.Members {
			doc.Members[i].Voter = doc.Members[i].Voter || voters == 0
		}
		value, err := json.Marshal(doc.Document)
		if err != nil {
			return store.Txn{}, err
		}
		txn.If = append(txn.If, store.Compare{Key: s.Keys.Members(centre), Version: doc.Version})
		txn.Puts = append(txn.Puts, store.Put{Key: s.Keys.Members(centre), Value: value})
	}
	return txn, nil
}
