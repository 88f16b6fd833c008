package lease

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// The model runs the lessors of one session against one backend server, its
// successors and the log. Real time is known to the model only: every process
// sees its own clock, whose rate differs within the bound. Messages stay in
// flight until they are delivered, duplicated or dropped.

// ppmScale is the denominator of a clock's difference in rate.
const ppmScale = 1_000_000

// modelClock is one process's monotonic clock.
type modelClock struct {
	offset time.Duration
	ppm    int64
}

// at returns the reading at a real time.
func (c modelClock) at(real time.Duration) time.Duration {
	return c.offset + real + real*time.Duration(c.ppm)/ppmScale
}

// realAt returns the real time at which the clock shows a reading.
func (c modelClock) realAt(reading time.Duration) time.Duration {
	return (reading - c.offset) * ppmScale / time.Duration(ppmScale+c.ppm)
}

// modelHost is a host that may be a lessor.
type modelHost struct {
	id          string
	incarnation int
	clock       modelClock
	lessor      *Lessor
	// folded is the number of log entries that the host has applied.
	folded int
	// reading is an earlier reading of the clock, used by a step that was paused after it.
	reading time.Duration
	// inbox holds messages that the host has received and not handled.
	inbox []receipt
	proof Proof
	// dropped is the version under which the server confirmed that it dropped the slice.
	dropped Version
}

// receipt is a message with the host's clock as of its arrival.
type receipt struct {
	at      time.Duration
	message message
}

func (h *modelHost) name() string {
	return Name(record.Lessor{Host: h.id, Incarnation: strconv.Itoa(h.incarnation)})
}

// modelServer is the backend server that owns the slice at the start.
type modelServer struct {
	clock        modelClock
	incarnation  int
	holds        bool
	gaveUp       bool
	ended        bool
	validUntilMS int64
}

func (s *modelServer) clockMS(real time.Duration) int64 {
	return s.clock.at(real).Milliseconds()
}

// mayExecute reports whether the server would execute a request for the slice.
func (s *modelServer) mayExecute(real time.Duration) bool {
	return s.holds && !s.ended && s.clockMS(real) < s.validUntilMS
}

// logEntry is a record of the log: a version of the session, or a seal.
type logEntry struct {
	version   Version
	lessors   Lessors
	successor string
	move      bool
	seal      bool
}

// grant is a request to the server.
type grant struct {
	incarnation  int
	validUntilMS int64
	add          bool
	drop         bool
	end          bool
	version      Version
}

// grantReply is the server's answer.
type grantReply struct {
	incarnation int
	clockMS     int64
	dropped     bool
	ended       bool
	version     Version
}

type messageKind int

const (
	leadRequestKind messageKind = iota
	leadReplyKind
	closeRequestKind
	closeReplyKind
	grantKind
	grantReplyKind
)

const serverName = "server"

// message is anything in flight.
type message struct {
	kind         messageKind
	from, to     string
	askedAt      time.Duration
	leadRequest  LeadRequest
	leadReply    LeadReply
	closeRequest CloseRequest
	closeReply   CloseReply
	grant        grant
	grantReply   grantReply
}

// modelFaults leaves out rules that hosts, not lessors, have to keep.
type modelFaults struct {
	// restartKeepsName lets a restarted host act under its former name.
	restartKeepsName bool
	// clockStops lets a host's clock stand still while the host is frozen.
	clockStops bool
	// unequalDurations lets some lessors count by longer durations than others.
	unequalDurations bool
	// falseProof lets a host close with a proof that it does not have.
	falseProof bool
}

// world is the state of the model.
type world struct {
	cfg      Config
	real     time.Duration
	hosts    []*modelHost
	server   modelServer
	log      []logEntry
	logUp    bool
	net      []message
	outcomes map[Version]bool
	// activated are the successors that have been told to serve the slice.
	activated map[string]bool
	moving    bool
	// forgetRetired lets hosts drop a lessor that is none any more, promises included.
	forgetRetired bool

	faults      faults
	modelFaults modelFaults
	trace       []string
	tracing     bool
}

// note adds a line to the trace.
func (w *world) note(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%9s  ", w.real)+fmt.Sprintf(format, args...))
	}
}

// firstVersion is the version at which the session is opened.
const firstVersion = Version(testSession)

// openSession lets the log name the first lessors and the server hold the slice.
func (w *world) openSession(lessors int) {
	var names []string
	for _, h := range w.hosts[:lessors] {
		names = append(names, h.name())
	}
	w.log = []logEntry{{
		version:   firstVersion,
		lessors:   Lessors{Names: names, Since: firstVersion, Sealed: true},
		successor: "successor-0",
	}}
	for _, h := range w.hosts {
		w.fold(h, 1)
	}
	w.server.holds = true
}

// fold lets a host apply the log up to a number of entries.
func (w *world) fold(h *modelHost, entries int) {
	h.folded = max(h.folded, entries)
	v := w.viewOf(h.folded)
	if h.lessor != nil && h.lessor.Phase() == PhaseRetired && w.forgetRetired {
		w.forget(h)
	}
	if h.lessor != nil {
		done := h.lessor.Retire(h.clock.at(w.real), v.version, v.lessors)
		w.note("%s folds to version %d: retired %v", h.name(), v.version, done)
		return
	}
	if slices.Contains(v.lessors.Names, h.name()) {
		h.lessor = New(w.configOf(h), h.name(), testSession, v.version, v.lessors)
		h.lessor.faults = w.faults
		w.note("%s becomes a lessor at version %d", h.name(), v.version)
	}
}

// configOf returns the durations by which a host counts.
func (w *world) configOf(h *modelHost) Config {
	cfg := w.cfg
	if w.modelFaults.unequalDurations && h == w.hosts[0] {
		cfg.LeadTTL *= 2
		cfg.LeaseTTL *= 2
	}
	return cfg
}

// forget lets a host drop its lessor, together with the answers that it waits for.
func (w *world) forget(h *modelHost) {
	h.lessor = nil
	h.inbox = nil
	w.net = slices.DeleteFunc(w.net, func(m message) bool {
		return m.to == h.name() && (m.kind == leadReplyKind || m.kind == closeReplyKind || m.kind == grantReplyKind)
	})
}

// send puts a message in flight.
func (w *world) send(m message) {
	w.net = append(w.net, m)
}

// receive hands a message to its receiver. A host only notes it together with
// its clock; the server handles it at once.
func (w *world) receive(m message) {
	if m.to == serverName {
		w.handleGrant(m)
		return
	}
	for _, h := range w.hosts {
		if h.name() == m.to && h.lessor != nil {
			h.inbox = append(h.inbox, receipt{at: h.clock.at(w.real), message: m})
		}
	}
}

// handleNext lets a host handle the oldest message that it has received.
func (w *world) handleNext(h *modelHost) {
	r := h.inbox[0]
	h.inbox = slices.Clone(h.inbox[1:])
	m := r.message
	l := h.lessor
	switch m.kind {
	case leadRequestKind:
		reply := l.HandleLead(r.at, m.leadRequest)
		w.note("%s handles lead request of %s (yield %v): granted %v", h.name(), m.from, m.leadRequest.Yield, reply.Granted)
		w.send(message{kind: leadReplyKind, from: h.name(), to: m.from, askedAt: m.askedAt, leadReply: reply})
	case leadReplyKind:
		l.OnLeadReply(r.at, m.askedAt, m.leadReply)
		w.note("%s handles lead reply of %s: granted %v, lead until %v", h.name(), m.from, m.leadReply.Granted, l.leadUntil)
	case closeRequestKind:
		reply := l.HandleClose(r.at, m.closeRequest)
		w.note("%s handles close request of %s: joined %v", h.name(), m.from, reply.Joined)
		w.send(message{kind: closeReplyKind, from: h.name(), to: m.from, closeReply: reply})
	case closeReplyKind:
		l.OnCloseReply(r.at, m.closeReply)
		w.note("%s handles close reply of %s: %v, due %v", h.name(), m.from, l.phase, l.closing.due)
	case grantReplyKind:
		w.handleGrantReply(h, r.at, m.grantReply)
	}
}

func (w *world) handleGrantReply(h *modelHost, at time.Duration, reply grantReply) {
	if reply.incarnation != 1 {
		h.proof = ProofNewIncarnation
		return
	}
	h.lessor.OnServerClock(at, reply.clockMS)
	w.note("%s learns the server's clock %dms", h.name(), reply.clockMS)
	if reply.ended {
		h.proof = ProofEnded
	}
	if reply.dropped {
		h.dropped = reply.version
	}
}

// handleGrant lets the server apply a grant.
func (w *world) handleGrant(m message) {
	s := &w.server
	g := m.grant
	if g.incarnation == s.incarnation && !s.ended {
		s.validUntilMS = max(s.validUntilMS, g.validUntilMS)
		s.holds = s.holds || g.add && !s.gaveUp
		if g.drop {
			s.holds = false
			s.gaveUp = true
		}
		s.ended = g.end
	}
	w.note("server handles grant of %s: valid until %dms, holds %v, ended %v", m.from, s.validUntilMS, s.holds, s.ended)
	w.send(message{kind: grantReplyKind, from: serverName, to: m.from, grantReply: grantReply{
		incarnation: s.incarnation,
		clockMS:     s.clockMS(w.real),
		dropped:     g.drop && s.gaveUp,
		ended:       s.ended,
		version:     g.version,
	}})
}

// restartServer gives the server a new incarnation, which holds nothing.
func (w *world) restartServer(clock modelClock) {
	w.server = modelServer{clock: clock, incarnation: w.server.incarnation + 1}
	w.note("server restarts")
}

// restartHost lets a host lose its memory.
func (w *world) restartHost(h *modelHost) {
	w.note("%s restarts", h.name())
	if !w.modelFaults.restartKeepsName {
		h.incarnation++
	}
	*h = modelHost{id: h.id, incarnation: h.incarnation, clock: h.clock}
	if w.modelFaults.restartKeepsName {
		w.fold(h, len(w.log))
	}
}

// freeze lets a host's clock fall behind.
func (w *world) freeze(h *modelHost, d time.Duration) {
	w.note("the clock of %s stops for %v", h.name(), d)
	h.clock.offset -= d
}

// ask lets a host ask for the lead. The messages are in flight afterwards.
func (w *world) ask(h *modelHost, now time.Duration) bool {
	request, ok := h.lessor.AskLead(now)
	if ok {
		w.note("%s asks for the lead at %v", h.name(), now)
		w.sendLead(h, request)
	}
	return ok
}

func (w *world) sendLead(h *modelHost, request LeadRequest) {
	for _, peer := range h.lessor.Peers() {
		w.send(message{kind: leadRequestKind, from: h.name(), to: peer, askedAt: request.Asked, leadRequest: request})
	}
}

// yield lets a host give the lead back.
func (w *world) yield(h *modelHost, now time.Duration) bool {
	request, ok := h.lessor.YieldLead(now)
	if ok {
		w.note("%s yields", h.name())
		w.sendLead(h, request)
	}
	return ok
}

// renew lets a lead send a grant. Without a reading of the server's clock the
// grant extends nothing. A move drops the slice as soon as a quorum acts for its version.
func (w *world) renew(h *modelHost, now time.Duration, end bool) bool {
	l := h.lessor
	if !l.IsLead(now) {
		return false
	}
	g := grant{incarnation: 1, version: l.Version(), end: end}
	until, ok := l.NextLease(now)
	if ok {
		g.validUntilMS = until
		g.add = true
	}
	if w.entryOf(l.Version()).move && l.QuorumAt(l.Version()) {
		g.add = false
		g.drop = true
	}
	w.note("%s sends grant until %dms, drop %v, end %v", h.name(), g.validUntilMS, g.drop, g.end)
	w.send(message{kind: grantKind, from: h.name(), to: serverName, grant: g})
	return true
}

// propose lets a host close the session with the proof that it has.
func (w *world) propose(h *modelHost, now time.Duration) bool {
	proof := h.proof
	if w.modelFaults.falseProof {
		proof = ProofEnded
	}
	request, ok := h.lessor.StartClose(now, "model", proof)
	if !ok {
		return false
	}
	w.note("%s proposes to close version %d with proof %d at %v", h.name(), request.Version, proof, now)
	for _, peer := range h.lessor.Peers() {
		w.send(message{kind: closeRequestKind, from: h.name(), to: peer, closeRequest: request})
	}
	return true
}

// withdraw lets a host take its proposal back.
func (w *world) withdraw(h *modelHost, now time.Duration) {
	if h.lessor.Withdraw(now) {
		w.note("%s withdraws", h.name())
	}
}

// activate lets every host whose lessor has closed the session, or whose server
// has dropped the slice, activate the successor.
func (w *world) activate() {
	for _, h := range w.hosts {
		if h.dropped != 0 {
			w.activateAt(h, w.entryOf(h.dropped).successor)
		}
		if h.lessor == nil || !h.lessor.Closed(h.clock.at(w.real)) {
			continue
		}
		version := h.lessor.Outcome().Version
		w.outcomes[version] = true
		w.activateAt(h, w.entryOf(version).successor)
	}
}

func (w *world) activateAt(h *modelHost, successor string) {
	if !w.activated[successor] {
		w.note("%s activates %s", h.name(), successor)
	}
	w.activated[successor] = true
}
