package host

import (
	"context"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/route"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// directory answers the data path's lookups from the host's view of the log. It implements route.Directory.
type directory struct {
	host *Host
}

// Service implements route.Directory.
func (d directory) Service(name string) (settings.Service, bool) {
	var found settings.Service
	ok := false
	d.host.view.Read(func(state *settings.State, _ *ownership.Table) {
		for _, service := range state.Services() {
			if service.Name == name {
				found, ok = service, true
			}
		}
	})
	return found, ok
}

// Owner implements route.Directory.
func (d directory) Owner(key ownership.SliceKey) route.Owner {
	var owner route.Owner
	d.host.view.Read(func(_ *settings.State, table *ownership.Table) {
		slice := table.Slice(key)
		session := table.Session(slice.Owner)
		if session == nil || session.Closed {
			return
		}
		owner = route.Owner{
			Session: session.ID,
			Version: uint64(slice.Version),
			Lessors: slices.Clone(session.Lessors),
		}
	})
	return owner
}

// Lessors implements route.Directory.
func (d directory) Lessors(id record.SessionID) []record.Lessor {
	var lessors []record.Lessor
	d.host.view.Read(func(_ *settings.State, table *ownership.Table) {
		if session := table.Session(id); session != nil && !session.Closed {
			lessors = slices.Clone(session.Lessors)
		}
	})
	return lessors
}

// MayTakeWork implements route.Directory.
func (d directory) MayTakeWork(zone, addr string) bool {
	active := true
	d.host.view.Read(func(_ *settings.State, table *ownership.Table) {
		active = table.Mark(record.SubjectZone, zone).State == record.MarkActive &&
			table.Mark(record.SubjectServer, addr).State == record.MarkActive
	})
	return active
}

// LiveHosts implements route.Directory.
func (d directory) LiveHosts() []string {
	return d.host.members.LiveNames()
}

// Serving reports whether every slice of every keyed service has an owner, and
// every session that this host is a lessor of has a primary.
func (h *Host) Serving() bool {
	return h.ownersComplete() && h.primariesKnown()
}

// ownersComplete reports whether every slice of every keyed service has an owner.
func (h *Host) ownersComplete() bool {
	complete := false
	h.view.Read(func(state *settings.State, table *ownership.Table) {
		complete = len(state.Services()) > 0
		for _, service := range state.Services() {
			for number := 0; service.Values.Keyed && number < service.Values.Slices; number++ {
				complete = complete && table.HasOwner(ownership.SliceKey{Service: service.Name, Slice: number})
			}
		}
	})
	return complete
}

// primariesKnown reports whether each open session that this host is a lessor of has a primary.
func (h *Host) primariesKnown() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, k := range h.keepers {
		if primary, _ := k.Primary(); primary == "" && !k.Done() {
			return false
		}
	}
	return true
}

// queryPrimaryTimeout bounds the query to one lessor for the primary of a session.
const queryPrimaryTimeout = 100 * time.Millisecond

// queryPrimary queries a lessor, possibly this host, for the primary of a session.
// ok is false if the lessor did not answer or does not have the session.
func (h *Host) queryPrimary(ctx context.Context, lessor record.Lessor, id record.SessionID) (primary string, ok bool) {
	var reply peer.LeadOfReply
	args := peer.SessionArgs{Session: id}
	if lessor.Host == h.config.Name {
		err := (&peerService{host: h}).LeadOf(args, &reply)
		return reply.Lead, err == nil && reply.Known
	}
	err := h.peers.CallTimeout(ctx, queryPrimaryTimeout, lessor.PeerAddr, "Peer.LeadOf", args, &reply)
	return reply.Lead, err == nil && reply.Known
}
