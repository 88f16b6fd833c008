package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	service    = "revize"
	zone       = "zlin"
	sliceCount = 6
	ms         = time.Millisecond
	ppmScale   = 1_000_000
)

// clock is a process's monotonic clock. Its rate deviates from real time by ppm.
type clock struct {
	offset time.Duration
	ppm    int64
}

func (c clock) at(realTime time.Duration) time.Duration {
	return c.offset + realTime + realTime*time.Duration(c.ppm)/ppmScale
}

// server is a backend server that checks leases and epochs.
type server struct {
	addr        string
	incarnation int
	clock       clock
	session     record.SessionID
	ended       bool
	validUntil  int64
	holds       map[int]record.Epoch
	gaveUp      map[int]record.Epoch
}

// mayExecute reports whether the server would execute a request for the slice.
func (s *server) mayExecute(slice int, realTime time.Duration) bool {
	_, held := s.holds[slice]
	return held && !s.ended && s.clock.at(realTime).Milliseconds() < s.validUntil
}

// grant is a request to a server.
type grant struct {
	session     record.SessionID
	incarnation string
	validUntil  int64
	add, drop   map[int]record.Epoch
	end         bool
}

// reply is a server's answer.
type reply struct {
	incarnation string
	session     record.SessionID
	ended       bool
	applied     bool
	clockMS     int64
	holds       map[int]record.Epoch
	gaveUp      map[int]record.Epoch
}

// sessionOver reports whether the reply shows that the server serves nothing under
// the grant's session any more.
func (r reply) sessionOver(g grant) bool {
	return r.incarnation != g.incarnation || r.session > g.session || r.session == g.session && r.ended
}

// grantTo makes the server at addr apply a grant and returns its reply.
func (s *system) grantTo(addr string, g grant) reply {
	r := s.serverAt(addr).apply(g, s.realTime)
	if r.applied {
		s.countf("grant", "%s session %d until %dms holds %v gave up %v ended %v", addr, g.session, g.validUntil, r.holds, r.gaveUp, r.ended)
	}
	return r
}

// apply applies a grant and returns the reply.
func (s *server) apply(g grant, realTime time.Duration) reply {
	applied := s.accept(g)
	return reply{
		incarnation: strconv.Itoa(s.incarnation),
		session:     s.session,
		ended:       s.ended,
		applied:     applied,
		clockMS:     s.clock.at(realTime).Milliseconds(),
		holds:       maps.Clone(s.holds),
		gaveUp:      maps.Clone(s.gaveUp),
	}
}

// accept applies a grant and reports whether the server accepted it. A grant of
// another incarnation or an older session is rejected; for a session that has
// ended, only a grant that ends it is accepted.
func (s *server) accept(g grant) bool {
	if g.incarnation != strconv.Itoa(s.incarnation) || g.session < s.session {
		return false
	}
	if g.session > s.session {
		s.session = g.session
		s.ended = false
		s.validUntil = 0
		s.holds = make(map[int]record.Epoch)
		s.gaveUp = make(map[int]record.Epoch)
	}
	if s.ended {
		return g.end
	}
	s.validUntil = max(s.validUntil, g.validUntil)
	for slice, epoch := range g.add {
		if s.gaveUp[slice] < epoch {
			s.holds[slice] = max(s.holds[slice], epoch)
		}
	}
	for slice, epoch := range g.drop {
		s.gaveUp[slice] = max(s.gaveUp[slice], epoch)
		if s.holds[slice] <= epoch {
			delete(s.holds, slice)
		}
	}
	s.ended = g.end
	return true
}

// keeper is the state of one host as a lessor of one session, as in package keeper.
type keeper struct {
	lessor      *lease.Lessor
	incarnation string
	addr        string
	version     logservice.Offset
	handovers   map[int]ownership.Slice
	adopted     map[int]record.Epoch
	gaveUp      map[int]record.Epoch
	proof       lease.Proof
}

// host is a host of the system.
type host struct {
	name        string
	incarnation int
	clock       clock
	table       *ownership.Table
	// read is the number of log records applied to table.
	read int
	// lagging reports that the host rarely reads the log.
	lagging bool
	keepers map[record.SessionID]*keeper
}

func (h *host) lessor() record.Lessor {
	return record.Lessor{Host: h.name, Incarnation: strconv.Itoa(h.incarnation)}
}

// system is the state of a run.
type system struct {
	rng      *rand.Rand
	cfg      lease.Config
	realTime time.Duration
	hosts    []*host
	servers  []*server
	log      []record.Record
	logUp    bool
	// pending are messages in flight; running one delivers it.
	pending []func()
	// omitBase leaves the base version out of the close record of a recovery.
	omitBase bool
	// newestSuccessorOnly makes a recovery query only the newest successor of a slice.
	newestSuccessorOnly bool
	tracing             bool
	trace               []string
	// counts holds how often each kind of event has occurred.
	counts map[string]int
}

func newSystem(seed uint64) *system {
	values := settings.Defaults()
	s := &system{
		rng:    rand.New(rand.NewPCG(seed, 4)),
		logUp:  true,
		counts: make(map[string]int),
		cfg: lease.Config{
			LeadTTL:       values.LeadTTL,
			LeaseTTL:      values.LeaseTTL,
			DriftPermille: values.DriftPermille,
		},
	}
	laggingHosts := s.rng.IntN(3)
	for i := range 4 {
		s.hosts = append(s.hosts, &host{name: fmt.Sprintf("h%d", i), incarnation: 1, clock: s.clock(),
			lagging: i < laggingHosts, table: ownership.NewTable(), keepers: make(map[record.SessionID]*keeper)})
		s.servers = append(s.servers, &server{addr: fmt.Sprintf("s%d", i), incarnation: 1, clock: s.clock()})
	}
	return s
}

func (s *system) clock() clock {
	return clock{offset: time.Minute, ppm: s.rng.Int64N(int64(s.cfg.DriftPermille) * ppmScale / 1000)}
}

func (s *system) oneIn(n int) bool { return s.rng.IntN(n) == 0 }

// countf counts an event of the kind what and, if tracing is on, adds it to the trace.
func (s *system) countf(what, format string, args ...any) {
	s.counts[what]++
	if !s.tracing {
		return
	}
	s.trace = append(s.trace, fmt.Sprintf("%9s %s: ", s.realTime, what)+fmt.Sprintf(format, args...))
}

// send delivers a message now, later, twice or never.
func (s *system) send(deliver func()) {
	switch p := s.rng.IntN(20); {
	case p < 12:
		deliver()
	case p < 14:
		s.pending = append(s.pending, deliver)
	case p < 15:
		deliver()
		s.pending = append(s.pending, deliver)
	case p < 18:
		s.pending = append(s.pending, deliver)
	}
}

// sendTo sends a message to a lessor of a session. It arrives only if the host is
// still a lessor under that name.
func (s *system) sendTo(name string, session record.SessionID, deliver func(*host, *keeper)) {
	s.send(func() {
		for _, h := range s.hosts {
			if k := h.keepers[session]; k != nil && lease.LessorName(h.lessor()) == name {
				deliver(h, k)
			}
		}
	})
}

// sendReply sends an answer to the lessor that sent the request. It arrives only
// if the host has not restarted or dropped that keeper.
func (s *system) sendReply(h *host, session record.SessionID, k *keeper, deliver func()) {
	incarnation := h.incarnation
	s.send(func() {
		if h.incarnation == incarnation && h.keepers[session] == k {
			deliver()
		}
	})
}

func (s *system) serverAt(addr string) *server {
	i := slices.IndexFunc(s.servers, func(server *server) bool { return server.addr == addr })
	return s.servers[i]
}

// append adds a record to the log if the log is available.
func (s *system) append(h *host, r record.Record) {
	if !s.logUp {
		return
	}
	r.ID = record.ID(strconv.Itoa(len(s.log)))
	r.Author = h.name
	s.log = append(s.log, r)
	s.countf("append "+string(r.Kind), "%s at %d: %s", h.name, len(s.log), describe(r))
}

// describe returns the body of a record for the trace.
func describe(r record.Record) string {
	switch r.Kind {
	case record.KindOpen:
		return fmt.Sprintf("%+v", *r.Open)
	case record.KindClose:
		return fmt.Sprintf("%+v", *r.Close)
	case record.KindPlan:
		return fmt.Sprintf("%+v", r.Plan.Slices)
	case record.KindMoved:
		return fmt.Sprintf("%+v", r.Moved.Moves)
	case record.KindLessors:
		return fmt.Sprintf("%+v", *r.Lessors)
	default:
		return fmt.Sprintf("%+v", *r.Sealed)
	}
}

// readLog makes a host apply the next records.
func (s *system) readLog(h *host) {
	if !s.logUp || h.read == len(s.log) || h.lagging && !s.oneIn(30) {
		return
	}
	for range 1 + s.rng.IntN(len(s.log)-h.read) {
		h.read++
		r := s.log[h.read-1]
		if h.table.Apply(logservice.Offset(h.read), r).Accepted {
			s.counts["accepted "+string(r.Kind)]++
		}
	}
	s.syncKeepers(h)
}

// syncKeepers creates, updates and removes a host's keepers according to its table.
func (s *system) syncKeepers(h *host) {
	for id := range h.keepers {
		session := h.table.Session(id)
		if session == nil || session.Closed || h.keepers[id].lessor.Phase() == lease.PhaseRetired {
			delete(h.keepers, id)
		}
	}
	for _, session := range h.table.OpenSessions() {
		if !slices.Contains(session.Lessors, h.lessor()) && h.keepers[session.ID] == nil {
			continue
		}
		s.syncKeeper(h, session)
	}
}

func (s *system) syncKeeper(h *host, session *ownership.Session) {
	set := lessorSet(session)
	k := h.keepers[session.ID]
	if k == nil {
		name := lease.LessorName(h.lessor())
		k = &keeper{
			lessor:      lease.New(s.cfg, name, session.ID, session.Version, set),
			incarnation: session.Incarnation,
			addr:        session.Addr,
			adopted:     make(map[int]record.Epoch),
			gaveUp:      make(map[int]record.Epoch),
		}
		h.keepers[session.ID] = k
	}
	if !k.lessor.AdvanceTo(h.clock.at(s.realTime), session.Version, set) || k.version == session.Version {
		return
	}
	k.version = session.Version
	k.handovers = make(map[int]ownership.Slice)
	for _, key := range h.table.OwnedSlices(session.ID) {
		k.handovers[key.Slice] = h.table.Slice(key)
		delete(k.adopted, key.Slice)
	}
}

func lessorSet(session *ownership.Session) lease.Lessors {
	return lease.Lessors{
		Names:       names(session.Lessors),
		Since:       session.LessorsSince,
		Sealed:      session.Sealed(),
		Former:      names(session.Former),
		FormerSince: session.FormerSince,
	}
}

func names(lessors []record.Lessor) []string {
	var all []string
	for _, l := range lessors {
		all = append(all, lease.LessorName(l))
	}
	return all
}

// check returns an error if two servers may execute requests for the same slice.
func (s *system) check() error {
	for slice := range sliceCount {
		var owners []string
		for _, server := range s.servers {
			if server.mayExecute(slice, s.realTime) {
				owners = append(owners, server.addr)
			}
		}
		if len(owners) > 1 {
			return fmt.Errorf("slice %d may be executed by %v", slice, owners)
		}
	}
	return nil
}
