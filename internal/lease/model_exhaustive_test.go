package lease

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// tick is the step of real time in exhaustive searches.
	tick = 10 * ms
	// maxStates bounds the states of one exhaustive search; a search that reaches it fails.
	maxStates = 400_000
)

// budget bounds the steps of an exhaustive search by kind. asks and proposals are indexed by host number.
type budget struct {
	ticks     int
	asks      [3]int
	renewals  int
	proposals [3]int
	stepDowns int
	withdraws int
	logReads  int
	restarts  int
}

// scenario is a configuration of the model that is small enough to visit every interleaving.
type scenario struct {
	budget budget
	// ppm are the deviations of the hosts' clock rates, in parts per million.
	ppm           [3]int64
	driftPermille int
	// versions is the number of versions in the log beyond the first.
	versions int
	// leadTTL and leaseTTL are numbers of ticks.
	leadTTL  int
	leaseTTL int
	// links are the pairs of hosts that can exchange messages; other pairs are partitioned.
	links [][2]int
}

// deliverable reports whether a message can arrive and change its receiver's
// state. A reply that grants no consent changes nothing if there is only one version.
func (s scenario) deliverable(w *modelState, m message) bool {
	if m.kind == leadReplyKind && !m.leadReply.Granted && s.versions == 0 {
		return false
	}
	if m.from == serverName || m.to == serverName {
		return true
	}
	return slices.ContainsFunc(s.links, func(link [2]int) bool {
		a, b := w.hosts[link[0]].name(), w.hosts[link[1]].name()
		return a == m.from && b == m.to || a == m.to && b == m.from
	})
}

// node is a state of the search.
type node struct {
	*modelState
	remaining budget
	path      *path
}

// path is the list of steps that lead to a state, the last step first.
type path struct {
	before *path
	step   string
}

// String returns the steps in order, one per line.
func (p *path) String() string {
	var steps []string
	for ; p != nil; p = p.before {
		steps = append(steps, p.step)
	}
	slices.Reverse(steps)
	return strings.Join(steps, "\n")
}

func (s scenario) start(f faults, mf modelFaults) *node {
	w := &modelState{
		cfg: Config{
			LeadTTL:       time.Duration(s.leadTTL) * tick,
			LeaseTTL:      time.Duration(s.leaseTTL) * tick,
			DriftPermille: s.driftPermille,
		},
		outcomes:    make(map[Version]bool),
		activated:   make(map[string]bool),
		faults:      f,
		modelFaults: mf,
	}
	for i, ppm := range s.ppm {
		w.hosts = append(w.hosts, &modelHost{id: "h" + strconv.Itoa(i), clock: modelClock{ppm: ppm}})
	}
	w.server = modelServer{incarnation: 1}
	w.openSession(len(w.hosts))
	for i := range s.versions {
		w.appendVersion(nil, "successor-"+strconv.Itoa(i+1), false)
	}
	return &node{modelState: w, remaining: s.budget}
}

// search visits every reachable state. It returns the number of states visited
// and, if a state violates an invariant, the steps to it and the error.
func (s scenario) search(f faults, mf modelFaults) (states int, trace string, err error) {
	first := s.start(f, mf)
	seen := map[string]bool{first.key(): true}
	stack := []*node{first}
	for len(stack) > 0 && len(seen) < maxStates {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, next := range s.successors(n) {
			next.activate()
			if err := next.check(); err != nil {
				return len(seen), next.path.String(), err
			}
			key := next.key()
			if !seen[key] {
				seen[key] = true
				stack = append(stack, next)
			}
		}
	}
	return len(seen), "", nil
}

// successors returns the states one step away.
func (s scenario) successors(n *node) []*node {
	var all []*node
	try := func(step string, f func(*node) bool) {
		next := n.clone()
		if !f(next) {
			return
		}
		next.net = slices.DeleteFunc(next.net, func(m message) bool { return !s.deliverable(next.modelState, m) })
		next.path = &path{before: n.path, step: n.realTime.String() + " " + step}
		all = append(all, next)
	}
	if n.remaining.ticks > 0 {
		try("tick", func(next *node) bool {
			next.remaining.ticks--
			next.realTime += tick
			return true
		})
	}
	for i, m := range n.net {
		try("deliver "+m.from+" to "+m.to+" kind "+strconv.Itoa(int(m.kind)), func(next *node) bool {
			next.net = slices.Delete(next.net, i, i+1)
			next.receive(m)
			next.handleAll()
			return true
		})
	}
	for i := range n.hosts {
		n.hostSteps(i, try)
	}
	return all
}

// hostSteps tries the steps that a host takes without receiving a message.
func (n *node) hostSteps(i int, try func(string, func(*node) bool)) {
	name := n.hosts[i].id
	now := n.hosts[i].clock.at(n.realTime)
	try(name+" requests consent", func(next *node) bool {
		next.remaining.asks[i]--
		return next.remaining.asks[i] >= 0 && next.ask(next.hosts[i], now)
	})
	try(name+" renews", func(next *node) bool {
		next.remaining.renewals--
		return next.remaining.renewals >= 0 && next.renew(next.hosts[i], now, false)
	})
	try(name+" proposes", func(next *node) bool {
		next.remaining.proposals[i]--
		return next.remaining.proposals[i] >= 0 && next.propose(next.hosts[i], now)
	})
	try(name+" steps down", func(next *node) bool {
		next.remaining.stepDowns--
		return next.remaining.stepDowns >= 0 && next.stepDown(next.hosts[i], now)
	})
	try(name+" withdraws", func(next *node) bool {
		next.remaining.withdraws--
		return next.remaining.withdraws >= 0 && next.hosts[i].lessor.Withdraw(now)
	})
	try(name+" applies the log", func(next *node) bool {
		h := next.hosts[i]
		next.remaining.logReads--
		if next.remaining.logReads < 0 || h.appliedEntries >= len(next.log) {
			return false
		}
		next.applyLog(h, len(next.log))
		return true
	})
	try(name+" restarts", func(next *node) bool {
		next.remaining.restarts--
		if next.remaining.restarts < 0 {
			return false
		}
		next.restartHost(next.hosts[i])
		return next.hosts[i].lessor != nil
	})
}

// handleAll makes every host handle all messages in its inbox.
func (w *modelState) handleAll() {
	for _, h := range w.hosts {
		for len(h.inbox) > 0 {
			w.handleNext(h)
		}
	}
}

// clone returns a copy that shares no mutable state.
func (n *node) clone() *node {
	w := *n.modelState
	w.hosts = make([]*modelHost, len(n.hosts))
	for i, h := range n.hosts {
		c := *h
		c.lessor = cloneLessor(h.lessor)
		w.hosts[i] = &c
	}
	w.net = slices.Clone(n.net)
	w.outcomes = maps.Clone(n.outcomes)
	w.activated = maps.Clone(n.activated)
	return &node{modelState: &w, remaining: n.remaining}
}

func cloneLessor(l *Lessor) *Lessor {
	if l == nil {
		return nil
	}
	c := *l
	c.members = slices.Clone(l.members)
	c.formerSets = slices.Clone(l.formerSets)
	c.peerVersions = maps.Clone(l.peerVersions)
	c.consentEnds = maps.Clone(l.consentEnds)
	c.closing.joined = slices.Clone(l.closing.joined)
	return &c
}

// encoder builds a binary key of a state or message.
type encoder struct {
	buf []byte
}

func (e *encoder) int(values ...int64) {
	for _, v := range values {
		e.buf = binary.AppendVarint(e.buf, v)
	}
}

func (e *encoder) time(values ...time.Duration) {
	for _, v := range values {
		e.int(int64(v))
	}
}

func (e *encoder) bool(values ...bool) {
	for _, v := range values {
		b := byte(0)
		if v {
			b = 1
		}
		e.buf = append(e.buf, b)
	}
}

func (e *encoder) string(values ...string) {
	for _, v := range values {
		e.int(int64(len(v)))
		e.buf = append(e.buf, v...)
	}
}

// key returns an encoding of the state. Two states with equal keys have the same
// behaviour, so only one of them is visited.
func (n *node) key() string {
	e := &encoder{buf: make([]byte, 0, 512)}
	e.time(n.realTime)
	e.budget(n.remaining)
	s := n.server
	e.bool(s.holds, s.gaveUp, s.ended)
	e.int(s.validUntilMS, int64(s.incarnation), int64(len(n.outcomes)), int64(len(n.activated)))
	for _, h := range n.hosts {
		e.int(int64(h.incarnation), int64(h.appliedEntries), int64(h.dropped), int64(h.proof))
		e.lessor(h.lessor, n.modelState.hosts)
	}
	messages := make([]string, 0, len(n.net))
	for _, m := range n.net {
		messages = append(messages, messageKey(m))
	}
	slices.Sort(messages)
	e.string(messages...)
	return string(e.buf)
}

func (e *encoder) budget(b budget) {
	e.int(int64(b.ticks), int64(b.renewals), int64(b.stepDowns), int64(b.withdraws), int64(b.logReads), int64(b.restarts))
	for i := range b.asks {
		e.int(int64(b.asks[i]), int64(b.proposals[i]))
	}
}

func (e *encoder) lessor(l *Lessor, hosts []*modelHost) {
	if l == nil {
		return
	}
	e.int(int64(l.version), int64(l.membersSince), int64(l.phase), l.serverClock.clockMS)
	e.bool(l.sealed, l.started, l.formerSetUnknown, l.steppedDown, l.serverClock.known, l.closing.proposed, l.outcome != nil)
	e.string(l.givenConsent.to)
	e.time(l.givenConsent.until, l.givenConsent.asked, l.primarySince, l.primaryUntil, l.steppedDownAt)
	e.time(l.noConsentUntil, l.formerPrimariesEnd, l.serverClock.receivedAt, l.leasesEnd, l.closing.primarySince, l.closing.primaryUntil, l.closing.waitUntil)
	e.int(int64(l.closing.proof))
	for _, h := range hosts {
		e.time(l.consentEnds[h.name()])
		e.int(int64(l.peerVersions[h.name()]))
		e.bool(slices.Contains(l.closing.joined, h.name()))
	}
}

func messageKey(m message) string {
	e := &encoder{buf: make([]byte, 0, 64)}
	e.string(m.from, m.to)
	e.int(int64(m.kind))
	switch m.kind {
	case leadRequestKind:
		e.time(m.leadRequest.Asked)
		e.int(int64(m.leadRequest.Version))
		e.bool(m.leadRequest.Sealed, m.leadRequest.Yield)
	case leadReplyKind:
		e.time(m.askedAt)
		e.int(int64(m.leadReply.Version))
		e.bool(m.leadReply.Sealed, m.leadReply.Granted, m.leadReply.Outcome != nil)
	case closeRequestKind:
		e.int(int64(m.closeRequest.Version))
	case closeReplyKind:
		e.int(int64(m.closeReply.Version))
		e.bool(m.closeReply.Joined, m.closeReply.Outcome != nil)
	case grantKind:
		e.int(m.grant.validUntilMS, int64(m.grant.version))
		e.bool(m.grant.add, m.grant.drop, m.grant.end)
	case grantReplyKind:
		e.int(m.grantReply.clockMS, int64(m.grantReply.version))
		e.bool(m.grantReply.dropped, m.grantReply.ended)
	}
	return string(e.buf)
}

// Values of scenario.links: all hosts connected, and hosts 0 and 2 partitioned from each other.
var (
	allLinks    = [][2]int{{0, 1}, {1, 2}, {0, 2}}
	middleLinks = [][2]int{{0, 1}, {1, 2}}
)

// scenarios are searched completely without faults, and until the first violation with a fault.
var scenarios = map[string]scenario{
	"closing by a lessor that consented to the primary": {
		leadTTL: 2, leaseTTL: 2, links: [][2]int{{0, 2}, {1, 2}},
		budget: budget{ticks: 6, asks: [3]int{1, 0, 0}, renewals: 2, proposals: [3]int{0, 0, 1}},
	},
	"closing by the primary": {
		leadTTL: 3, leaseTTL: 2, links: middleLinks[:1],
		budget: budget{ticks: 4, asks: [3]int{1, 0, 0}, renewals: 2, proposals: [3]int{1, 0, 0}},
	},
	"closing by one of two primaries": {
		leadTTL: 1, leaseTTL: 2, links: middleLinks,
		budget: budget{ticks: 3, asks: [3]int{1, 0, 1}, renewals: 2, proposals: [3]int{1, 0, 0}},
	},
	"two primaries": {
		leadTTL: 2, leaseTTL: 2, links: allLinks,
		budget: budget{ticks: 3, asks: [3]int{1, 0, 1}},
	},
	"clocks of different rates": {
		leadTTL: 3, leaseTTL: 2, links: middleLinks,
		driftPermille: 500, ppm: [3]int64{0, 500_000, 0},
		budget: budget{ticks: 4, asks: [3]int{1, 0, 1}, renewals: 1},
	},
	"yield": {
		leadTTL: 2, leaseTTL: 2, links: middleLinks,
		budget: budget{ticks: 2, asks: [3]int{2, 0, 1}, stepDowns: 1},
	},
	"two versions": {
		leadTTL: 1, leaseTTL: 1, versions: 1, links: allLinks,
		budget: budget{ticks: 2, proposals: [3]int{1, 0, 1}, withdraws: 1, logReads: 2},
	},
	"restart": {
		leadTTL: 2, leaseTTL: 2, links: middleLinks,
		budget: budget{ticks: 2, asks: [3]int{1, 0, 1}, restarts: 1},
	},
}

func TestEveryInterleavingOfSmallModels(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, trace, err := s.search(faults{}, modelFaults{})
			assert.NilError(t, err, "%s", trace)
			assert.Assert(t, states < maxStates, "not all states were visited")
			t.Logf("%d states", states)
		})
	}
}

// TestSmallModelsDetectDisabledRules checks that the exhaustive search detects each
// disabled rule: in the named scenario, some interleaving must violate an invariant.
func TestSmallModelsDetectDisabledRules(t *testing.T) {
	for _, mutation := range []struct {
		name     string
		scenario string
		faults   faults
		model    modelFaults
	}{
		{name: "wait for LeadTTL", scenario: "closing by a lessor that consented to the primary", faults: faults{noLeadWait: true}},
		{name: "wait for LeaseTTL", scenario: "closing by a lessor that consented to the primary", faults: faults{noLeaseWait: true}},
		{name: "lease counts from the clock reading", scenario: "closing by the primary", faults: faults{leaseFromSending: true}},
		{name: "short wait only while the proposer would still be primary", scenario: "closing by one of two primaries", faults: faults{shortWaitAlways: true}},
		{name: "leases of earlier primaries count", scenario: "closing by one of two primaries", faults: faults{ignoreEarlierPrimaries: true}},
		{name: "given consent is recorded", scenario: "two primaries", faults: faults{forgetConsent: true}},
		{name: "drift", scenario: "clocks of different rates", faults: faults{noDrift: true}},
		{name: "late yield ends no later consent", scenario: "yield", faults: faults{acceptLateYield: true}},
		{name: "joined lessor keeps its version", scenario: "two versions", faults: faults{retireJoined: true}},
		{name: "restarted lessor does not act", scenario: "restart", model: modelFaults{restartKeepsName: true}},
		{name: "proof is evidence", scenario: "closing by a lessor that consented to the primary", model: modelFaults{falseProof: true}},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			t.Parallel()
			states, trace, err := scenarios[mutation.scenario].search(mutation.faults, mutation.model)
			assert.ErrorIs(t, err, errInvariant)
			t.Logf("%d states; %v\n%s", states, err, trace)
		})
	}
}
