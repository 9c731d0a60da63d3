package cmd

import (
	"context"
	"encoding/json"
	"fmt"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/admission"
	"redwingloft/internal/service/configuration"
	"redwingloft/internal/service/member"
	"redwingloft/internal/service/order"
	"redwingloft/internal/service/upstream"
	"redwingloft/internal/web/peer"
	"redwingloft/pkg/api"
)

// newPeerHandler returns the handler of messages from other hosts.
func (h *host) newPeerHandler() *peer.Handler {
	return &peer.Handler{
		Secret: h.settings.Peer.Secret, Exchange: h.members.Receive, Manifest: h.manifest, Part: h.part,
		Grant: h.handleGrant, Claims: h.handleClaims, Metrics: h.metrics, Log: h.log,
	}
}

// onApplied activates a snapshot and acknowledges it to the other hosts, which wait for that.
func (h *host) onApplied(snapshot *document.Snapshot) {
	h.upstreams.Table.Apply(snapshot)
	h.members.Apply(snapshot)
	h.members.StartRound(context.Background())
}

// manifestHosts returns the hosts that were registered at the commit of the active revision.
func (h *host) manifestHosts() []api.HostID {
	if current := h.configuration.Current(); current != nil {
		return current.Members
	}
	return nil
}

func (h *host) manifest() json.RawMessage {
	current := h.configuration.Current()
	if current == nil {
		return nil
	}
	encoded, err := json.Marshal(current)
	if err != nil {
		h.log.Error().Err(err).Msg("manifest_not_encoded")
		return nil
	}
	return encoded
}

func (h *host) part(digest string) []byte {
	part, _ := h.configuration.Part(digest)
	return part
}

// fetchRevision fetches and applies a newer revision, from the peer that has it or else from the store.
func (h *host) fetchRevision(from api.Address, revision api.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), configFetchTimeout)
	defer cancel()
	if from == "" {
		h.refreshConfiguration(ctx)
		return
	}
	if err := h.fetchFrom(ctx, from); err != nil {
		h.log.Warn().Str("peer", string(from)).Uint64("revision", uint64(revision)).Err(err).Msg("configuration_fetch_failed")
	}
}

func (h *host) fetchFrom(ctx context.Context, from api.Address) error {
	encoded, err := h.peerClient.Manifest(ctx, from)
	if err != nil {
		return err
	}
	manifest, err := configuration.ParseManifest(encoded)
	if err != nil {
		return err
	}
	return h.configuration.Offer(ctx, manifest, func(ctx context.Context, digest string) ([]byte, error) {
		return h.peerClient.Part(ctx, from, digest)
	})
}

// gateTicket checks whether a ticket may start under its revision. A resumed stream finishes
// on its own version and doesn't wait for a handover.
func (h *host) gateTicket(ticket *admission.Ticket) (release func(), held <-chan struct{}, err error) {
	name := ticket.Pipeline
	if ticket.Resumed {
		name = ""
	}
	held, err = h.members.Gate(ticket.Workspace, name, ticket.Revision)
	return nil, held, err
}

func (h *host) isHome(workspace api.WorkspaceName) bool {
	_, self := h.members.Home(string(workspace))
	return self
}

// requestGrant requests tokens from the home host of a workspace.
func (h *host) requestGrant(ctx context.Context, workspace api.WorkspaceName, want float64) (float64, error) {
	home, _ := h.members.Home(string(workspace))
	grant, err := h.peerClient.Grant(ctx, home.Peer, member.GrantRequest{Workspace: workspace, Want: want})
	return grant.Tokens, err
}

func (h *host) handleGrant(_ context.Context, request member.GrantRequest) (member.Grant, error) {
	return member.Grant{Tokens: h.requests.Quota.IssueGrant(request.Workspace, request.Want)}, nil
}

// forwardClaims forwards the writes of an order shard to its aggregator.
func (h *host) forwardClaims(ctx context.Context, shard int, claims []order.Claim) ([]order.ClaimResult, error) {
	aggregator, self := h.members.Home(fmt.Sprintf("order-shard/%d", shard))
	if self {
		return nil, order.ErrNotForwarded
	}
	encoded, err := json.Marshal(claims)
	if err != nil {
		return nil, err
	}
	response, err := h.peerClient.Claims(ctx, aggregator.Peer, member.ClaimsRequest{Shard: shard, Claims: encoded})
	if err != nil {
		return nil, err
	}
	var results []order.ClaimResult
	return results, json.Unmarshal(response, &results)
}

func (h *host) handleClaims(ctx context.Context, request member.ClaimsRequest) (json.RawMessage, error) {
	var claims []order.Claim
	if err := json.Unmarshal(request.Claims, &claims); err != nil {
		return nil, fault.New(api.KindBadRequest, "the claims are not valid: %v", err)
	}
	results, err := h.requests.Orders.Claim(ctx, request.Shard, claims)
	if err != nil {
		return nil, fault.Wrap(api.KindBadRequest, err, "the claims were not applied")
	}
	return json.Marshal(results)
}

func (h *host) isProber(id api.UpstreamID) bool { return h.members.IsProber(string(id)) }

// encodeEvents returns a function that encodes the upstream events of a table for an exchange.
func encodeEvents(table *upstream.Table) func(uint64) (json.RawMessage, uint64) {
	return func(since uint64) (json.RawMessage, uint64) {
		events, last := table.Events(since)
		if len(events) == 0 {
			return nil, last
		}
		encoded, err := json.Marshal(events)
		if err != nil {
			return nil, since
		}
		return encoded, last
	}
}

// mergeEvents returns a function that merges the upstream events of another host. Invalid
// events are dropped; the state of their upstreams is observed again.
func mergeEvents(table *upstream.Table) func(json.RawMessage) {
	return func(encoded json.RawMessage) {
		var events []upstream.Event
		if json.Unmarshal(encoded, &events) == nil {
			table.Merge(events)
		}
	}
}
