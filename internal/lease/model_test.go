package lease

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

// The model runs the lessors of one session with one backend server, its
// successors and the log. Only the model knows real time: every process reads its
// own clock, whose rate deviates within the drift bound. Messages stay in flight
// until they are delivered, duplicated or dropped.

// ppmScale is the denominator of a clock's deviation in rate: parts per million.
const ppmScale = 1_000_000

// modelClock is one process's monotonic clock.
type modelClock struct {
	offset time.Duration
	ppm    int64
}

// at returns the clock's reading at a real time.
func (c modelClock) at(realTime time.Duration) time.Duration {
	return c.offset + realTime + realTime*time.Duration(c.ppm)/ppmScale
}

// realAt returns the real time at which the clock shows a reading.
func (c modelClock) realAt(reading time.Duration) time.Duration {
	return (reading - c.offset) * ppmScale / time.Duration(ppmScale+c.ppm)
}

// modelHost is a host that may be a lessor; lessor is nil while it is not.
type modelHost struct {
	id          string
	incarnation int
	clock       modelClock
	lessor      *Lessor
	// appliedEntries is the number of log entries that the host has applied.
	appliedEntries int
	// reading is an earlier reading of the clock, used by a step that was paused after it.
	reading time.Duration
	// inbox holds messages that the host has received and not handled.
	inbox []receivedMessage
	// proof is the evidence that the host has from the server's replies.
	proof Proof
	// dropped is the version under which the server confirmed that it dropped the slice.
	dropped Version
}

// receivedMessage is a message with the reading of the host's clock at its arrival.
type receivedMessage struct {
	at      time.Duration
	message message
}

func (h *modelHost) name() string {
	return LessorName(record.Lessor{Host: h.id, Incarnation: strconv.Itoa(h.incarnation)})
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

func (s *modelServer) clockMS(realTime time.Duration) int64 {
	return s.clock.at(realTime).Milliseconds()
}

// mayExecute reports whether the server would execute a request for the slice.
func (s *modelServer) mayExecute(realTime time.Duration) bool {
	return s.holds && !s.ended && s.clockMS(realTime) < s.validUntilMS
}

// logEntry is a record of the log: a version of the session, or a seal of the newest version's lessors.
type logEntry struct {
	version   Version
	lessors   Lessors
	successor string
	move      bool
	seal      bool
}

// grant is a primary's request to the server.
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

// message is a message in flight; kind selects which of the last fields is set.
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

// modelFaults disables rules that the hosts, not the lessors, must follow.
type modelFaults struct {
	// restartKeepsName lets a restarted host act under its former name.
	restartKeepsName bool
	// clockStops lets a host's clock stand still while the host is frozen.
	clockStops bool
	// unequalDurations gives the first host longer durations than the others.
	unequalDurations bool
	// falseProof lets a host close with a proof that it does not have.
	falseProof bool
}

// modelState is the state of the model.
type modelState struct {
	cfg      Config
	realTime time.Duration
	hosts    []*modelHost
	server   modelServer
	log      []logEntry
	logUp    bool
	net      []message
	outcomes map[Version]bool
	// activated are the successors at which the slice has been activated.
	activated map[string]bool
	// moving reports that the newest version moves the slice to its successor.
	moving bool
	// forgetRetired lets hosts drop a retired Lessor together with its consents.
	forgetRetired bool

	faults      faults
	modelFaults modelFaults
	trace       []string
	tracing     bool
}

// tracef adds a line to the trace if tracing is on.
func (w *modelState) tracef(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%9s  ", w.realTime)+fmt.Sprintf(format, args...))
	}
}

// firstVersion is the version at which the session is opened.
const firstVersion = Version(testSession)

// openSession creates the log's first entry, with the first hosts as lessors, and
// gives the slice to the server.
func (w *modelState) openSession(lessors int) {
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
		w.applyLog(h, 1)
	}
	w.server.holds = true
}

// applyLog makes a host apply the log up to a number of entries.
func (w *modelState) applyLog(h *modelHost, entries int) {
	h.appliedEntries = max(h.appliedEntries, entries)
	v := w.logStateAt(h.appliedEntries)
	if h.lessor != nil && h.lessor.Phase() == PhaseRetired && w.forgetRetired {
		w.forget(h)
	}
	if h.lessor != nil {
		done := h.lessor.AdvanceTo(h.clock.at(w.realTime), v.version, v.lessors)
		w.tracef("%s applies the log up to version %d: accepted %v", h.name(), v.version, done)
		return
	}
	if slices.Contains(v.lessors.Names, h.name()) {
		h.lessor = New(w.configOf(h), h.name(), testSession, v.version, v.lessors)
		h.lessor.faults = w.faults
		w.tracef("%s becomes a lessor at version %d", h.name(), v.version)
	}
}

// configOf returns the durations that a host uses.
func (w *modelState) configOf(h *modelHost) Config {
	cfg := w.cfg
	if w.modelFaults.unequalDurations && h == w.hosts[0] {
		cfg.LeadTTL *= 2
		cfg.LeaseTTL *= 2
	}
	return cfg
}

// forget makes a host drop its Lessor, together with the answers that are in flight to it.
func (w *modelState) forget(h *modelHost) {
	h.lessor = nil
	h.inbox = nil
	w.net = slices.DeleteFunc(w.net, func(m message) bool {
		return m.to == h.name() && (m.kind == leadReplyKind || m.kind == closeReplyKind || m.kind == grantReplyKind)
	})
}

// send puts a message in flight.
func (w *modelState) send(m message) {
	w.net = append(w.net, m)
}

// receive delivers a message. A host puts it into its inbox with the reading of
// its clock; the server handles it at once.
func (w *modelState) receive(m message) {
	if m.to == serverName {
		w.handleGrant(m)
		return
	}
	for _, h := range w.hosts {
		if h.name() == m.to && h.lessor != nil {
			h.inbox = append(h.inbox, receivedMessage{at: h.clock.at(w.realTime), message: m})
		}
	}
}

// handleNext makes a host handle the oldest message in its inbox.
func (w *modelState) handleNext(h *modelHost) {
	r := h.inbox[0]
	h.inbox = slices.Clone(h.inbox[1:])
	m := r.message
	l := h.lessor
	switch m.kind {
	case leadRequestKind:
		reply := l.HandleLead(r.at, m.leadRequest)
		w.tracef("%s handles lead request of %s (step down %v): granted %v", h.name(), m.from, m.leadRequest.Yield, reply.Granted)
		w.send(message{kind: leadReplyKind, from: h.name(), to: m.from, askedAt: m.askedAt, leadReply: reply})
	case leadReplyKind:
		l.OnLeadReply(r.at, m.askedAt, m.leadReply)
		w.tracef("%s handles lead reply of %s: granted %v, primary until %v", h.name(), m.from, m.leadReply.Granted, l.primaryUntil)
	case closeRequestKind:
		reply := l.HandleClose(r.at, m.closeRequest)
		w.tracef("%s handles close request of %s: joined %v", h.name(), m.from, reply.Joined)
		w.send(message{kind: closeReplyKind, from: h.name(), to: m.from, closeReply: reply})
	case closeReplyKind:
		l.OnCloseReply(r.at, m.closeReply)
		w.tracef("%s handles close reply of %s: %v, waits until %v", h.name(), m.from, l.phase, l.closing.waitUntil)
	case grantReplyKind:
		w.handleGrantReply(h, r.at, m.grantReply)
	}
}

func (w *modelState) handleGrantReply(h *modelHost, at time.Duration, reply grantReply) {
	if reply.incarnation != 1 {
		h.proof = ProofNewIncarnation
		return
	}
	h.lessor.OnServerClock(at, reply.clockMS)
	w.tracef("%s receives the server's clock reading %dms", h.name(), reply.clockMS)
	if reply.ended {
		h.proof = ProofEnded
	}
	if reply.dropped {
		h.dropped = reply.version
	}
}

// handleGrant makes the server apply a grant and send a reply.
func (w *modelState) handleGrant(m message) {
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
	w.tracef("server handles grant of %s: valid until %dms, holds %v, ended %v", m.from, s.validUntilMS, s.holds, s.ended)
	w.send(message{kind: grantReplyKind, from: serverName, to: m.from, grantReply: grantReply{
		incarnation: s.incarnation,
		clockMS:     s.clockMS(w.realTime),
		dropped:     g.drop && s.gaveUp,
		ended:       s.ended,
		version:     g.version,
	}})
}

// restartServer gives the server a new incarnation, which holds nothing.
func (w *modelState) restartServer(clock modelClock) {
	w.server = modelServer{clock: clock, incarnation: w.server.incarnation + 1}
	w.tracef("server restarts")
}

// restartHost restarts a host, which loses all state except its clock.
func (w *modelState) restartHost(h *modelHost) {
	w.tracef("%s restarts", h.name())
	if !w.modelFaults.restartKeepsName {
		h.incarnation++
	}
	*h = modelHost{id: h.id, incarnation: h.incarnation, clock: h.clock}
	if w.modelFaults.restartKeepsName {
		w.applyLog(h, len(w.log))
	}
}

// freeze sets a host's clock back by d, as if it had stopped for that time.
func (w *modelState) freeze(h *modelHost, d time.Duration) {
	w.tracef("the clock of %s stops for %v", h.name(), d)
	h.clock.offset -= d
}

// ask makes a host request consent as primary from its peers. It reports whether it did.
func (w *modelState) ask(h *modelHost, now time.Duration) bool {
	request, ok := h.lessor.RequestPrimary(now)
	if ok {
		w.tracef("%s requests consent as primary at %v", h.name(), now)
		w.sendLead(h, request)
	}
	return ok
}

func (w *modelState) sendLead(h *modelHost, request LeadRequest) {
	for _, peer := range h.lessor.Peers() {
		w.send(message{kind: leadRequestKind, from: h.name(), to: peer, askedAt: request.Asked, leadRequest: request})
	}
}

// stepDown makes a primary step down. It reports whether it did.
func (w *modelState) stepDown(h *modelHost, now time.Duration) bool {
	request, ok := h.lessor.StepDown(now)
	if ok {
		w.tracef("%s steps down", h.name())
		w.sendLead(h, request)
	}
	return ok
}

// renew makes a primary send a grant. Without a reading of the server's clock the
// grant does not extend the lease. For a move, the grant drops the slice once a
// quorum acts for the version of the move.
func (w *modelState) renew(h *modelHost, now time.Duration, end bool) bool {
	l := h.lessor
	if !l.IsPrimary(now) {
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
	w.tracef("%s sends grant until %dms, drop %v, end %v", h.name(), g.validUntilMS, g.drop, g.end)
	w.send(message{kind: grantKind, from: h.name(), to: serverName, grant: g})
	return true
}

// propose makes a host propose to close the session with the proof that it has.
func (w *modelState) propose(h *modelHost, now time.Duration) bool {
	proof := h.proof
	if w.modelFaults.falseProof {
		proof = ProofEnded
	}
	request, ok := h.lessor.StartClose(now, "model", proof)
	if !ok {
		return false
	}
	w.tracef("%s proposes to close version %d with proof %d at %v", h.name(), request.Version, proof, now)
	for _, peer := range h.lessor.Peers() {
		w.send(message{kind: closeRequestKind, from: h.name(), to: peer, closeRequest: request})
	}
	return true
}

// withdraw makes a host withdraw its proposal to close.
func (w *modelState) withdraw(h *modelHost, now time.Duration) {
	if h.lessor.Withdraw(now) {
		w.tracef("%s withdraws", h.name())
	}
}

// activate makes every host whose lessor has closed the session, or to which the
// server has confirmed dropping the slice, activate the successor.
func (w *modelState) activate() {
	for _, h := range w.hosts {
		if h.dropped != 0 {
			w.activateAt(h, w.entryOf(h.dropped).successor)
		}
		if h.lessor == nil || !h.lessor.Closed(h.clock.at(w.realTime)) {
			continue
		}
		version := h.lessor.Outcome().Version
		w.outcomes[version] = true
		w.activateAt(h, w.entryOf(version).successor)
	}
}

func (w *modelState) activateAt(h *modelHost, successor string) {
	if !w.activated[successor] {
		w.tracef("%s activates %s", h.name(), successor)
	}
	w.activated[successor] = true
}
