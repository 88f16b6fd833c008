package model

import (
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// step takes one random step: time passes, a message arrives, a host acts, the log
// changes or a process restarts.
func (s *system) step() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch p := s.rng.IntN(1000); {
	case p < 80:
		s.realTime += time.Duration(s.rng.IntN(30_000)) * time.Microsecond
	case p < 160:
		s.deliverPending()
	case p < 270:
		s.readLog(h)
	case p < 300:
		s.plan(h)
	case p < 302:
		s.recover(h)
	case p < 306:
		s.logUp = !s.logUp
	case p < 307:
		s.restartHost(h)
	case p < 309:
		s.restartServer()
	default:
		s.act(h)
	}
}

func (s *system) deliverPending() {
	if len(s.pending) == 0 {
		return
	}
	i := s.rng.IntN(len(s.pending))
	deliver := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	deliver()
}

// restartHost restarts a host: it loses its lessors and gets its table from
// another host's snapshot, unless that host has applied fewer records.
func (s *system) restartHost(h *host) {
	peer := s.hosts[s.rng.IntN(len(s.hosts))]
	if peer.read < h.read {
		return
	}
	table, err := ownership.Restore(peer.table.Snapshot())
	if err != nil {
		panic(err)
	}
	h.incarnation++
	h.table = table
	h.read = peer.read
	h.keepers = make(map[record.SessionID]*keeper)
	s.countf("host restarts", "%s", h.name)
}

func (s *system) restartServer() {
	server := s.servers[s.rng.IntN(len(s.servers))]
	server.incarnation++
	server.clock = s.clock()
	server.session = 0
	server.ended = false
	server.validUntil = 0
	server.holds = nil
	server.gaveUp = nil
	s.countf("server restarts", "%s", server.addr)
}

// act makes a host take a step in one of its sessions.
func (s *system) act(h *host) {
	ids := make([]record.SessionID, 0, len(h.keepers))
	for id := range h.keepers {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := ids[s.rng.IntN(len(ids))]
	k := h.keepers[id]
	switch p := s.rng.IntN(100); {
	case p < 40:
		s.ask(h, id, k)
	case p < 80:
		s.renew(h, id, k)
	case p < 81, p < 95 && k.lessor.Phase() != lease.PhaseActive:
		s.propose(h, id, k)
	case p < 82:
		k.lessor.Withdraw(h.clock.at(s.realTime))
	default:
		s.finishClosings(h, id, k)
	}
}

func (s *system) ask(h *host, id record.SessionID, k *keeper) {
	request, ok := k.lessor.RequestPrimary(h.clock.at(s.realTime))
	if !ok {
		return
	}
	for _, peer := range k.lessor.Peers() {
		s.sendTo(peer, id, func(other *host, target *keeper) {
			answer := target.lessor.HandleLead(other.clock.at(s.realTime), request)
			s.sendReply(h, id, k, func() {
				k.lessor.OnLeadReply(h.clock.at(s.realTime), request.Asked, answer)
			})
		})
	}
}

// renew sends a grant if the host is the session's primary.
func (s *system) renew(h *host, id record.SessionID, k *keeper) {
	if !k.lessor.IsPrimary(h.clock.at(s.realTime)) {
		return
	}
	g := grant{session: id, incarnation: k.incarnation, add: make(map[int]record.Epoch), drop: make(map[int]record.Epoch)}
	if until, ok := k.lessor.NextLease(h.clock.at(s.realTime)); ok {
		g.validUntil = until
		s.addSlices(&g, k)
	}
	s.send(func() {
		answer := s.grantTo(k.addr, g)
		s.sendReply(h, id, k, func() { s.onGrantReply(h, k, g, answer) })
	})
}

// addSlices adds the slices of the session to a grant. A moving slice is dropped
// once a quorum of the lessors acts for the version that moves it.
func (s *system) addSlices(g *grant, k *keeper) {
	for slice, handover := range k.handovers {
		switch {
		case k.gaveUp[slice] >= handover.Epoch:
		case handover.Moving:
			if k.lessor.QuorumAt(k.lessor.Version()) {
				g.drop[slice] = handover.Epoch
			}
		default:
			g.add[slice] = handover.Epoch
		}
	}
	for slice, epoch := range k.adopted {
		g.add[slice] = max(g.add[slice], epoch)
	}
}

func (s *system) onGrantReply(h *host, k *keeper, g grant, r reply) {
	switch {
	case r.incarnation != g.incarnation:
		k.proof = lease.ProofNewIncarnation
	case r.sessionOver(g):
		k.proof = lease.ProofEnded
	default:
		k.lessor.OnServerClock(h.clock.at(s.realTime), r.clockMS)
		if r.applied && r.session == g.session {
			for slice, epoch := range r.gaveUp {
				k.gaveUp[slice] = max(k.gaveUp[slice], epoch)
			}
		}
	}
}

func (s *system) propose(h *host, id record.SessionID, k *keeper) {
	request, ok := k.lessor.StartClose(h.clock.at(s.realTime), "model", k.proof)
	if !ok {
		return
	}
	for _, peer := range k.lessor.Peers() {
		s.sendTo(peer, id, func(other *host, target *keeper) {
			answer := target.lessor.HandleClose(other.clock.at(s.realTime), request)
			s.sendReply(h, id, k, func() { k.lessor.OnCloseReply(h.clock.at(s.realTime), answer) })
		})
	}
}

// finishClosings continues a closing or a move: it activates slices at their successors and
// appends the record. Without either, it reports a seal.
func (s *system) finishClosings(h *host, id record.SessionID, k *keeper) {
	closed := k.lessor.Closed(h.clock.at(s.realTime)) && k.lessor.Version() == k.version
	moves := s.activate(h, k, closed)
	switch {
	case closed:
		s.countf("closes", "%s closes %d at version %d", h.name, id, k.version)
		s.append(h, record.Record{Kind: record.KindClose, Close: &record.Close{Session: id, Moves: moves}})
	case len(moves) > 0:
		s.append(h, record.Record{Kind: record.KindMoved, Moved: &record.Moved{Moves: moves}})
	default:
		s.seal(h, id, k)
	}
}

// seal appends a seal for the session's newest lessors if this lessor acts for
// that set and has found it sealed.
func (s *system) seal(h *host, id record.SessionID, k *keeper) {
	session := h.table.Session(id)
	if session == nil || session.Sealed() || !k.lessor.Sealed() || k.lessor.Version() < session.LessorsSince {
		return
	}
	sealed := &record.Sealed{Session: id, Version: session.LessorsSince}
	s.append(h, record.Record{Kind: record.KindSealed, Sealed: sealed})
}

// activate asks the successors to adopt slices: all of a closed session, or those
// that the server has dropped for a move. It returns the moves of these slices.
func (s *system) activate(h *host, k *keeper, closed bool) []record.SliceMove {
	var moves []record.SliceMove
	for slice := range sliceCount {
		handover, owned := k.handovers[slice]
		dropped := handover.Moving && k.gaveUp[slice] >= handover.Epoch
		if !owned || handover.Successor == 0 || !closed && !dropped {
			continue
		}
		s.adopt(h, handover.Successor, slice, handover.NextEpoch)
		moves = append(moves, record.SliceMove{Service: service, Slice: slice, To: handover.Successor, Epoch: handover.NextEpoch})
	}
	return moves
}

// adopt asks the lessors of a successor's session to take over a slice. The
// primary does so unless its table has the slice under another owner at that
// epoch or a newer one.
func (s *system) adopt(h *host, session record.SessionID, slice int, epoch record.Epoch) {
	successor := h.table.Session(session)
	if successor == nil || successor.Closed {
		return
	}
	for _, name := range names(successor.Lessors) {
		s.sendTo(name, session, func(other *host, target *keeper) {
			current := other.table.Slice(ownership.SliceKey{Service: service, Slice: slice})
			if current.Owner != session && current.Epoch >= epoch || !target.lessor.IsPrimary(other.clock.at(s.realTime)) {
				return
			}
			s.countf("adopts", "%s adopts slice %d for %d under %d", other.name, slice, session, epoch)
			target.adopted[slice] = max(target.adopted[slice], epoch)
			s.renew(other, session, target)
		})
	}
}

// recover closes a session without its lessors. Its server must confirm that the
// session has ended, and every session that may have taken over one of its slices
// must confirm that it has dropped the slice. The record may be appended later,
// after other records.
func (s *system) recover(h *host) {
	sessions := h.table.OpenSessions()
	if len(sessions) == 0 {
		return
	}
	session := *sessions[s.rng.IntN(len(sessions))]
	g := grant{session: session.ID, incarnation: session.Incarnation, end: true}
	if s.oneIn(3) || !s.grantTo(session.Addr, g).sessionOver(g) {
		return
	}
	for _, key := range h.table.OwnedSlices(session.ID) {
		for _, succession := range h.table.PossibleSuccessors(key) {
			replaced := succession.Session != h.table.Slice(key).Successor
			if !(s.newestSuccessorOnly && replaced) && !s.dropAt(h, key, succession) {
				return
			}
		}
	}
	s.countf("recovers", "%s recovers %d at version %d", h.name, session.ID, session.Version)
	closed := record.Close{Session: session.ID, Base: session.Version}
	if s.omitBase {
		closed.Base = 0
	}
	finish := func() { s.append(h, record.Record{Kind: record.KindClose, Close: &closed}) }
	if s.oneIn(2) {
		s.pending = append(s.pending, finish)
		return
	}
	finish()
}

func (s *system) dropAt(h *host, key ownership.SliceKey, succession ownership.Succession) bool {
	session := h.table.Session(succession.Session)
	g := grant{
		session:     session.ID,
		incarnation: session.Incarnation,
		drop:        map[int]record.Epoch{key.Slice: succession.Epoch},
	}
	answer := s.grantTo(session.Addr, g)
	return answer.applied || answer.sessionOver(g)
}

// plan makes a host append one record that opens a session, replaces its lessors or
// assigns slices.
func (s *system) plan(h *host) {
	if s.oneIn(3) {
		s.planOpen(h)
		return
	}
	if s.oneIn(8) {
		s.planLessors(h)
		return
	}
	s.planSlice(h)
}

func (s *system) randomLessors() []record.Lessor {
	var lessors []record.Lessor
	for _, i := range s.rng.Perm(len(s.hosts))[:1+s.rng.IntN(3)] {
		lessors = append(lessors, s.hosts[i].lessor())
	}
	return lessors
}

func (s *system) planOpen(h *host) {
	server := s.servers[s.rng.IntN(len(s.servers))]
	open := &record.Open{
		Service: service, Zone: zone, Addr: server.addr,
		Incarnation: strconv.Itoa(server.incarnation), Lessors: s.randomLessors(),
	}
	if latest := h.table.Latest(server.addr); latest != nil {
		if !latest.Closed {
			return
		}
		open.Previous = latest.ID
	}
	s.append(h, record.Record{Kind: record.KindOpen, Open: open})
}

func (s *system) planLessors(h *host) {
	sessions := h.table.OpenSessions()
	if len(sessions) == 0 {
		return
	}
	session := sessions[s.rng.IntN(len(sessions))]
	lessors := &record.Lessors{Session: session.ID, Base: session.Version, Lessors: s.randomLessors()}
	s.append(h, record.Record{Kind: record.KindLessors, Lessors: lessors})
}

func (s *system) planSlice(h *host) {
	sessions := h.table.OpenSessions()
	if len(sessions) == 0 {
		return
	}
	plan := &record.Plan{Service: service}
	for _, slice := range s.rng.Perm(sliceCount)[:1+s.rng.IntN(sliceCount)] {
		if !h.table.IsMoving(h.table.Slice(ownership.SliceKey{Service: service, Slice: slice})) {
			plan.Slices = append(plan.Slices, s.randomChange(h, slice, sessions))
		}
	}
	s.append(h, record.Record{Kind: record.KindPlan, Plan: plan})
}

// randomChange returns a random change of one slice.
func (s *system) randomChange(h *host, slice int, sessions []*ownership.Session) record.SlicePlan {
	key := ownership.SliceKey{Service: service, Slice: slice}
	current := h.table.Slice(key)
	change := record.SlicePlan{Slice: slice, Base: current.Version}
	owner := current.Owner
	if !h.table.HasOwner(key) {
		owner = sessions[s.rng.IntN(len(sessions))].ID
		change.Owner = owner
	}
	for _, i := range s.rng.Perm(len(sessions)) {
		if sessions[i].ID != owner {
			change.Successor = sessions[i].ID
		}
	}
	change.Move = change.Owner == 0 && change.Successor != 0 && s.oneIn(6)
	return change
}
