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
	// tick is the step of the real time in exhaustive runs.
	tick = 10 * ms
	// maxStates bounds one exhaustive search; a search that reaches it fails.
	maxStates = 400_000
)

// budget is what may still happen in an exhaustive run. Host numbers index asks and proposals.
type budget struct {
	ticks     int
	asks      [3]int
	renewals  int
	proposals [3]int
	yields    int
	withdraws int
	folds     int
	restarts  int
}

// scenario is a small world all of whose interleavings are visited.
type scenario struct {
	budget budget
	// ppm are the differences in rate of the hosts' clocks.
	ppm           [3]int64
	driftPermille int
	// versions is the number of versions in the log beyond the first.
	versions int
	leadTTL  int
	leaseTTL int
	// links are the pairs of hosts that can exchange messages; others are cut.
	links [][2]int
}

// arrives reports whether a message can arrive and make a difference. A
// refusal of consent makes none where there is one version only.
func (s scenario) arrives(w *world, m message) bool {
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
	*world
	left budget
	path *path
}

// path is the way to a state, the last step first.
type path struct {
	before *path
	step   string
}

// String returns the steps in order, one a line.
func (p *path) String() string {
	var steps []string
	for ; p != nil; p = p.before {
		steps = append(steps, p.step)
	}
	slices.Reverse(steps)
	return strings.Join(steps, "\n")
}

func (s scenario) start(f faults, mf modelFaults) *node {
	w := &world{
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
	return &node{world: w, left: s.budget}
}

// search visits every reachable state. It returns the number of states and the
// steps to the first one that breaks an invariant.
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
		next.net = slices.DeleteFunc(next.net, func(m message) bool { return !s.arrives(next.world, m) })
		next.path = &path{before: n.path, step: n.real.String() + " " + step}
		all = append(all, next)
	}
	if n.left.ticks > 0 {
		try("tick", func(next *node) bool {
			next.left.ticks--
			next.real += tick
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

// hostSteps tries the steps that a host takes of its own.
func (n *node) hostSteps(i int, try func(string, func(*node) bool)) {
	name := n.hosts[i].id
	now := n.hosts[i].clock.at(n.real)
	try(name+" asks", func(next *node) bool {
		next.left.asks[i]--
		return next.left.asks[i] >= 0 && next.ask(next.hosts[i], now)
	})
	try(name+" renews", func(next *node) bool {
		next.left.renewals--
		return next.left.renewals >= 0 && next.renew(next.hosts[i], now, false)
	})
	try(name+" proposes", func(next *node) bool {
		next.left.proposals[i]--
		return next.left.proposals[i] >= 0 && next.propose(next.hosts[i], now)
	})
	try(name+" yields", func(next *node) bool {
		next.left.yields--
		return next.left.yields >= 0 && next.yield(next.hosts[i], now)
	})
	try(name+" withdraws", func(next *node) bool {
		next.left.withdraws--
		return next.left.withdraws >= 0 && next.hosts[i].lessor.Withdraw(now)
	})
	try(name+" folds", func(next *node) bool {
		h := next.hosts[i]
		next.left.folds--
		if next.left.folds < 0 || h.folded >= len(next.log) {
			return false
		}
		next.fold(h, len(next.log))
		return true
	})
	try(name+" restarts", func(next *node) bool {
		next.left.restarts--
		if next.left.restarts < 0 {
			return false
		}
		next.restartHost(next.hosts[i])
		return next.hosts[i].lessor != nil
	})
}

// handleAll lets every host handle what it has received.
func (w *world) handleAll() {
	for _, h := range w.hosts {
		for len(h.inbox) > 0 {
			w.handleNext(h)
		}
	}
}

// clone returns a copy that shares nothing that changes.
func (n *node) clone() *node {
	w := *n.world
	w.hosts = make([]*modelHost, len(n.hosts))
	for i, h := range n.hosts {
		c := *h
		c.lessor = cloneLessor(h.lessor)
		w.hosts[i] = &c
	}
	w.net = slices.Clone(n.net)
	w.outcomes = maps.Clone(n.outcomes)
	w.activated = maps.Clone(n.activated)
	return &node{world: &w, left: n.left}
}

func cloneLessor(l *Lessor) *Lessor {
	if l == nil {
		return nil
	}
	c := *l
	c.members = slices.Clone(l.members)
	c.formers = slices.Clone(l.formers)
	c.peers = maps.Clone(l.peers)
	c.consents = maps.Clone(l.consents)
	c.closing.joined = slices.Clone(l.closing.joined)
	return &c
}

// encoder builds the key of a state.
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

// key returns a string that two states share only if they behave alike.
func (n *node) key() string {
	e := &encoder{buf: make([]byte, 0, 512)}
	e.time(n.real)
	e.budget(n.left)
	s := n.server
	e.bool(s.holds, s.gaveUp, s.ended)
	e.int(s.validUntilMS, int64(s.incarnation), int64(len(n.outcomes)), int64(len(n.activated)))
	for _, h := range n.hosts {
		e.int(int64(h.incarnation), int64(h.folded), int64(h.dropped), int64(h.proof))
		e.lessor(h.lessor, n.world.hosts)
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
	e.int(int64(b.ticks), int64(b.renewals), int64(b.yields), int64(b.withdraws), int64(b.folds), int64(b.restarts))
	for i := range b.asks {
		e.int(int64(b.asks[i]), int64(b.proposals[i]))
	}
}

func (e *encoder) lessor(l *Lessor, hosts []*modelHost) {
	if l == nil {
		return
	}
	e.int(int64(l.version), int64(l.membersSince), int64(l.phase), l.clock.clockMS)
	e.bool(l.sealed, l.started, l.formersUnknown, l.yielded, l.clock.known, l.closing.proposed, l.outcome != nil)
	e.string(l.promise.to)
	e.time(l.promise.until, l.promise.asked, l.leadSince, l.leadUntil, l.yieldedAt)
	e.time(l.muteUntil, l.settled, l.clock.receivedAt, l.leasesEnd, l.closing.leadSince, l.closing.leadUntil, l.closing.due)
	e.int(int64(l.closing.proof))
	for _, h := range hosts {
		e.time(l.consents[h.name()])
		e.int(int64(l.peers[h.name()]))
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

// Pairs of hosts that can exchange messages.
var (
	allLinks    = [][2]int{{0, 1}, {1, 2}, {0, 2}}
	middleLinks = [][2]int{{0, 1}, {1, 2}}
)

// scenarios are visited in full, without faults and with.
var scenarios = map[string]scenario{
	"lead and closing by its giver": {
		leadTTL: 2, leaseTTL: 2, links: [][2]int{{0, 2}, {1, 2}},
		budget: budget{ticks: 6, asks: [3]int{1, 0, 0}, renewals: 2, proposals: [3]int{0, 0, 1}},
	},
	"closing by the lead": {
		leadTTL: 3, leaseTTL: 2, links: middleLinks[:1],
		budget: budget{ticks: 4, asks: [3]int{1, 0, 0}, renewals: 2, proposals: [3]int{1, 0, 0}},
	},
	"closing by one of two leads": {
		leadTTL: 1, leaseTTL: 2, links: middleLinks,
		budget: budget{ticks: 3, asks: [3]int{1, 0, 1}, renewals: 2, proposals: [3]int{1, 0, 0}},
	},
	"two leads": {
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
		budget: budget{ticks: 2, asks: [3]int{2, 0, 1}, yields: 1},
	},
	"two versions": {
		leadTTL: 1, leaseTTL: 1, versions: 1, links: allLinks,
		budget: budget{ticks: 2, proposals: [3]int{1, 0, 1}, withdraws: 1, folds: 2},
	},
	"restart": {
		leadTTL: 2, leaseTTL: 2, links: middleLinks,
		budget: budget{ticks: 2, asks: [3]int{1, 0, 1}, restarts: 1},
	},
}

func TestEveryInterleavingOfSmallWorlds(t *testing.T) {
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

// TestSmallWorldsNoticeARuleLeftOut shows for every rule a small world in which
// some interleaving breaks an invariant without it.
func TestSmallWorldsNoticeARuleLeftOut(t *testing.T) {
	for _, mutation := range []struct {
		name     string
		scenario string
		faults   faults
		model    modelFaults
	}{
		{name: "wait for LeadTTL", scenario: "lead and closing by its giver", faults: faults{noLeadWait: true}},
		{name: "wait for LeaseTTL", scenario: "lead and closing by its giver", faults: faults{noLeaseWait: true}},
		{name: "lease counts from the clock reading", scenario: "closing by the lead", faults: faults{leaseFromSending: true}},
		{name: "short wait only while the own lead would run", scenario: "closing by one of two leads", faults: faults{shortWaitAlways: true}},
		{name: "leads before the own one count", scenario: "closing by one of two leads", faults: faults{noEarlierLeads: true}},
		{name: "promise is remembered", scenario: "two leads", faults: faults{forgetPromise: true}},
		{name: "drift", scenario: "clocks of different rates", faults: faults{noDrift: true}},
		{name: "late yield ends no later promise", scenario: "yield", faults: faults{yieldAnything: true}},
		{name: "joined lessor keeps its version", scenario: "two versions", faults: faults{retireJoined: true}},
		{name: "restarted lessor does not act", scenario: "restart", model: modelFaults{restartKeepsName: true}},
		{name: "proof is evidence", scenario: "lead and closing by its giver", model: modelFaults{falseProof: true}},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			t.Parallel()
			states, trace, err := scenarios[mutation.scenario].search(mutation.faults, mutation.model)
			assert.ErrorIs(t, err, errInvariant)
			t.Logf("%d states; %v\n%s", states, err, trace)
		})
	}
}
