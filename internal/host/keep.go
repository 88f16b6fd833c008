package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/route"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// lingerTime is how long an ended keeper goes on answering other hosts, so
// that those behind in the log learn where the slices went.
const lingerTime = 10 * time.Second

// keepDuty starts a keeper for each session that names this host as a lessor.
func (h *Host) keepDuty(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := h.view.Changed()
		h.noteSessions()
		for _, session := range h.newSessions() {
			h.startKeeper(ctx, &running, session)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// peerAddrs returns the peer addresses of all known hosts, this one included.
func (h *Host) peerAddrs() []string {
	var addrs []string
	for _, host := range h.members.All() {
		addrs = append(addrs, host.PeerAddr)
	}
	return addrs
}

// witnessFor returns the peer address of the live host that comes first for the
// subject among those not excepted, hosts of other zones before those of the zone.
func (h *Host) witnessFor(subject, zone string, except []string) string {
	near := ""
	for _, host := range members.Rank(subject, h.members.Live()) {
		switch {
		case slices.Contains(except, host.Name):
		case host.Zone != zone:
			return host.PeerAddr
		case near == "":
			near = host.PeerAddr
		}
	}
	return near
}

// noteSessions remembers when this host first saw each open session: the
// cold start of its server counts from then.
func (h *Host) noteSessions() {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[record.SessionID]time.Time)
	h.view.Read(func(_ *settings.State, table *ownership.Table) {
		for _, session := range table.Sessions() {
			seen[session.ID] = time.Now()
			if before, known := h.seen[session.ID]; known {
				seen[session.ID] = before
			}
		}
	})
	h.seen = seen
}

// firstSeen returns when this host first saw an open session.
func (h *Host) firstSeen(id record.SessionID) time.Time {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if seen, known := h.seen[id]; known {
		return seen
	}
	return time.Now()
}

// sessionToKeep is a session that needs a keeper, with the settings in force for it.
type sessionToKeep struct {
	session ownership.Session
	values  settings.Values
}

// newSessions returns the open sessions that name this incarnation of the host
// and have no keeper yet.
func (h *Host) newSessions() []sessionToKeep {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var missing []sessionToKeep
	h.view.Read(func(state *settings.State, table *ownership.Table) {
		for _, session := range table.Sessions() {
			if h.keepers[session.ID] == nil && h.names(session.Lessors) {
				missing = append(missing, sessionToKeep{*session, zoneValues(state, session)})
			}
		}
	})
	return missing
}

func (h *Host) names(lessors []record.Lessor) bool {
	for _, lessor := range lessors {
		if lessor.Host == h.config.Name && lessor.Incarnation == h.entry.Incarnation {
			return true
		}
	}
	return false
}

// zoneValues returns the settings in force for a session's service in its zone.
func zoneValues(state *settings.State, session *ownership.Session) settings.Values {
	for _, service := range state.Services() {
		if service.Name != session.Service {
			continue
		}
		for _, zone := range service.Zones {
			if zone.Name == session.Zone {
				return zone.Values
			}
		}
		return service.Values
	}
	return settings.Defaults()
}

func (h *Host) startKeeper(ctx context.Context, running *sync.WaitGroup, wanted sessionToKeep) {
	server := poison.Server{Addr: wanted.session.Addr, Incarnation: wanted.session.Incarnation}
	lane := route.NewLane(wanted.values, server, h.firstSeen(wanted.session.ID), h.guard)
	h.guard.Configure(poison.Bounds{Deaths: wanted.values.PoisonDeaths, Retention: wanted.values.PoisonRetention})
	deps := keeper.Deps{
		Host:        h.config.Name,
		Incarnation: h.entry.Incarnation,
		View:        h.view,
		Writer:      h.writer,
		Peers:       h.peers,
		Servers:     h.servers,
		Events:      h.events,
		Hosts:       h.peerAddrs,
		Witness:     h.witnessFor,
		Clock:       h.clock,
	}
	k := keeper.New(deps, &wanted.session, wanted.values, lane)
	h.mu.Lock()
	h.keepers[k.ID()] = k
	h.mu.Unlock()
	h.gateway.Add(k, lane)
	running.Go(func() {
		k.Run(ctx)
		lane.SessionEnded(false)
		duty.Wait(ctx, lingerTime)
		h.gateway.Remove(k.ID())
		h.mu.Lock()
		delete(h.keepers, k.ID())
		h.mu.Unlock()
	})
}

// resignAll gives every lead back for good, so that other lessors may lead at once.
func (h *Host) resignAll(ctx context.Context) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var yielding sync.WaitGroup
	for _, k := range h.keepers {
		yielding.Go(func() { k.Resign(ctx) })
	}
	yielding.Wait()
}
