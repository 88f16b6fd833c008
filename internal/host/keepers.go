package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/keeper"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/route"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// lingerTime is how long an ended keeper goes on answering other hosts, so
// that hosts that lag behind in the log learn the new owner of its slices.
const lingerTime = 10 * time.Second

// keeperLoop starts a keeper for each session that names this host as a lessor, and
// waits for all keepers when the context ends.
func (h *Host) keeperLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := h.view.Changed()
		h.recordSessions()
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

// witnessFor returns the peer address of the first live host in the subject's rank
// order whose name is not in except, "" for none. A host of another zone than the given
// one is preferred, so that the witness survives the loss of the zone.
func (h *Host) witnessFor(subject, zone string, except []string) string {
	sameZone := ""
	for _, host := range members.Rank(subject, h.members.Live()) {
		switch {
		case slices.Contains(except, host.Name):
		case host.Zone != zone:
			return host.PeerAddr
		case sameZone == "":
			sameZone = host.PeerAddr
		}
	}
	return sameZone
}

// recordSessions records when this host first saw each open session. The slow start
// of the session's server is counted from then.
func (h *Host) recordSessions() {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[record.SessionID]time.Time)
	h.view.Read(func(_ *settings.State, table *ownership.Table) {
		for _, session := range table.OpenSessions() {
			seen[session.ID] = time.Now()
			if before, known := h.seenAt[session.ID]; known {
				seen[session.ID] = before
			}
		}
	})
	h.seenAt = seen
}

// firstSeen returns when this host first saw an open session, now for an unknown one.
func (h *Host) firstSeen(id record.SessionID) time.Time {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if seen, known := h.seenAt[id]; known {
		return seen
	}
	return time.Now()
}

// pendingSession is a session that needs a keeper, with the settings in force for it.
type pendingSession struct {
	session ownership.Session
	values  settings.Values
}

// newSessions returns the open sessions that name this incarnation of the host
// and have no keeper yet.
func (h *Host) newSessions() []pendingSession {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var missing []pendingSession
	h.view.Read(func(state *settings.State, table *ownership.Table) {
		for _, session := range table.OpenSessions() {
			if h.keepers[session.ID] == nil && h.isLessor(session.Lessors) {
				missing = append(missing, pendingSession{*session, zoneValues(state, session)})
			}
		}
	})
	return missing
}

// isLessor reports whether one of the lessors is this incarnation of the host.
func (h *Host) isLessor(lessors []record.Lessor) bool {
	for _, lessor := range lessors {
		if lessor.Host == h.config.Name && lessor.Incarnation == h.entry.Incarnation {
			return true
		}
	}
	return false
}

// zoneValues returns the settings in force for a session's service in its zone:
// those of the zone, else of the service, else the defaults.
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

// startKeeper starts a session's keeper and adds it to the gateway. It removes the
// keeper lingerTime after the keeper has ended.
func (h *Host) startKeeper(ctx context.Context, running *sync.WaitGroup, pending pendingSession) {
	server := poison.Server{Addr: pending.session.Addr, Incarnation: pending.session.Incarnation}
	limiter := route.NewServerLimiter(pending.values, server, h.firstSeen(pending.session.ID), h.guard)
	h.guard.Configure(poison.Bounds{CrashLimit: pending.values.PoisonDeaths, Retention: pending.values.PoisonRetention})
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
	k := keeper.New(deps, &pending.session, pending.values, limiter)
	h.mu.Lock()
	h.keepers[k.ID()] = k
	h.mu.Unlock()
	h.gateway.Add(k, limiter)
	running.Go(func() {
		k.Run(ctx)
		limiter.SessionEnded(false)
		loop.Sleep(ctx, lingerTime)
		h.gateway.Remove(k.ID())
		h.mu.Lock()
		delete(h.keepers, k.ID())
		h.mu.Unlock()
	})
}

// resignAll makes every keeper resign for good, so that other lessors may become
// the primaries of its sessions at once.
func (h *Host) resignAll(ctx context.Context) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var resigning sync.WaitGroup
	for _, k := range h.keepers {
		resigning.Go(func() { k.Resign(ctx) })
	}
	resigning.Wait()
}
