package sharedlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// modelStep is the time between two steps of the model.
const modelStep = 50 * time.Millisecond

// modelPlan is a plan in the model's log. Its version is its index in the log plus one.
type modelPlan struct {
	leader Member
	hosts  []Member
}

// modelHost is a host of the model with a clock of its own.
type modelHost struct {
	Member
	holder    *Holder
	allocator *Allocator
	rate      float64
	offset    time.Duration
	// plan is the number of plans that the host has adopted. term and verified are as in View.
	plan, term  int
	verified    time.Duration
	storeCut    time.Duration
	frozenUntil time.Duration
	deadline    time.Duration
	demand      map[string]float64
	generation  int
	// registered is the incarnation that a new plan lists. A restarted host registers at registerAt.
	registered string
	registerAt time.Duration
}

// modelMessage is a function that runs when a message arrives.
type modelMessage struct {
	at  time.Duration
	run func()
}

// model is a system of hosts that ask each other for shares while messages are lost and late, hosts restart and freeze,
// and leaders change.
type model struct {
	random   *rand.Rand
	now      time.Duration
	log      []modelPlan
	hosts    []*modelHost
	cut      map[[2]int]time.Duration
	messages []modelMessage
	mutate   func(*Allocator)
	limits   []string
	granted  float64
	terms    int
}

func newModel(seed uint64, hosts int, mutate func(*Allocator)) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 17)), cut: make(map[[2]int]time.Duration), mutate: mutate,
		limits: []string{"account/a", "cold/s/1"}, now: time.Minute,
	}
	for i := range hosts {
		h := &modelHost{Member: Member{Name: fmt.Sprintf("h%d", i)}, demand: make(map[string]float64)}
		m.hosts = append(m.hosts, h)
		m.restart(h)
	}
	m.write(m.hosts[0])
	return m
}

// restart starts a new incarnation of a host. It knows no plan until it reads the log.
func (m *model) restart(h *modelHost) {
	h.generation++
	h.Incarnation = fmt.Sprintf("%s.%d", h.Name, h.generation)
	h.rate = 1 + (m.random.Float64()-0.5)*0.019
	h.offset = time.Duration(m.random.Int64N(int64(time.Hour)))
	h.holder = NewHolder(h.Name, h.Incarnation)
	h.allocator = NewAllocator(h.Incarnation, DefaultTiming)
	if m.mutate != nil {
		m.mutate(h.allocator)
	}
	h.plan, h.term, h.verified, h.storeCut, h.frozenUntil = 0, 0, 0, 0, 0
	h.registerAt = m.now + time.Duration(m.random.Int64N(int64(3*time.Second)))
	if h.registered == "" {
		h.registered = h.Incarnation
	}
	h.read(m)
}

// clock returns the reading of the host's clock.
func (h *modelHost) clock(m *model) time.Duration {
	return h.offset + time.Duration(float64(m.now)*h.rate)
}

// read reads the log to its end.
func (h *modelHost) read(m *model) {
	for h.plan < len(m.log) {
		h.plan++
		if h.plan == 1 || m.log[h.plan-1].leader != m.log[h.plan-2].leader {
			h.term = h.plan
		}
		h.allocator.Observe(h.view(m), h.clock(m))
	}
	h.verified = h.clock(m)
}

func (h *modelHost) view(m *model) View {
	if h.plan == 0 {
		return View{}
	}
	plan := m.log[h.plan-1]
	return View{Leader: plan.leader.Incarnation, Term: uint64(h.term), First: h.term == 1, Verified: h.verified, Hosts: plan.hosts}
}

func (h *modelHost) leader(m *model) Leader {
	return Leader{Incarnation: h.view(m).Leader, Plan: uint64(h.plan)}
}

// write writes a plan of the host as leader. It lists all hosts in the incarnations that have registered last.
func (m *model) write(h *modelHost) {
	h.read(m)
	h.registered = h.Incarnation
	plan := modelPlan{leader: h.Member}
	for _, other := range m.hosts {
		if m.now >= other.registerAt {
			other.registered = other.Incarnation
		}
		plan.hosts = append(plan.hosts, Member{Name: other.Name, Incarnation: other.registered})
	}
	m.log = append(m.log, plan)
	h.read(m)
}

// after runs a function after a random delay, or never. Most delays are short, and some are longer than a lease.
func (m *model) after(run func()) {
	delay := time.Duration(m.random.ExpFloat64() * float64(20*time.Millisecond))
	switch m.random.IntN(20) {
	case 0:
		return
	case 1:
		delay = time.Duration(m.random.Int64N(int64(14 * time.Second)))
	}
	m.messages = append(m.messages, modelMessage{at: m.now + delay, run: run})
}

func (m *model) isCut(a, b int) bool {
	return m.now < m.cut[[2]int{min(a, b), max(a, b)}]
}

// ask sends the ask of a host that is due.
func (m *model) ask(i int) {
	h := m.hosts[i]
	ask, due := h.holder.Ask(h.leader(m), true, h.clock(m))
	if !due {
		return
	}
	h.deadline = m.now + 400*time.Millisecond
	for j, to := range m.hosts {
		if to.Incarnation != ask.Leader || m.isCut(i, j) {
			continue
		}
		m.after(func() { m.arrive(ask, i, j, to.holder) })
	}
}

// arrive delivers an ask to host j, unless that has restarted or is frozen, in which case it arrives later.
func (m *model) arrive(ask Ask, i, j int, incarnation *Holder) {
	to := m.hosts[j]
	if to.holder != incarnation {
		return
	}
	if m.now < to.frozenUntil {
		m.messages = append(m.messages, modelMessage{at: to.frozenUntil, run: func() { m.arrive(ask, i, j, incarnation) }})
		return
	}
	to.allocator.Observe(to.view(m), to.clock(m))
	answer, err := to.allocator.Answer(ask, to.clock(m))
	if err != nil || m.isCut(i, j) {
		return
	}
	from := m.hosts[i]
	holder := from.holder
	m.after(func() {
		if from.holder == holder && m.now >= from.frozenUntil {
			holder.Answered(ask.Sequence, ask.Leader, answer, from.leader(m), from.clock(m))
		}
	})
}

// step lets faults happen, delivers messages, and lets each host read the log, meet requests and ask.
func (m *model) step() {
	m.now += modelStep
	m.faults()
	due := m.messages
	m.messages = nil
	for _, message := range due {
		if message.at <= m.now {
			message.run()
		} else {
			m.messages = append(m.messages, message)
		}
	}
	for i, h := range m.hosts {
		if m.now < h.frozenUntil {
			continue
		}
		if m.now >= h.storeCut && m.random.IntN(10) == 0 {
			h.read(m)
		}
		h.allocator.Observe(h.view(m), h.clock(m))
		if m.now >= h.deadline {
			h.holder.Failed(h.holder.sequence)
		}
		m.requests(h)
		m.ask(i)
	}
}

func (m *model) requests(h *modelHost) {
	now := h.clock(m)
	if m.random.Float64() < h.demand["account/a"] {
		h.holder.Take("account/a", Limit{Rate: 40, Burst: 40}, false, now)
	}
	if m.random.Float64() < h.demand["cold/s/1"] {
		h.holder.Fraction("cold/s/1", 0.1, 0.3, now)
	}
}

// faults lets each kind of fault happen now and then.
func (m *model) faults() {
	pick := func() *modelHost { return m.hosts[m.random.IntN(len(m.hosts))] }
	until := func(longest time.Duration) time.Duration {
		return m.now + time.Duration(m.random.Int64N(int64(longest)))
	}
	often := func(mean time.Duration) bool { return m.random.Float64() < modelStep.Seconds()/mean.Seconds() }
	if often(2 * time.Second) {
		pick().demand[m.limits[m.random.IntN(2)]] = m.random.Float64() * float64(m.random.IntN(3)) / 2
	}
	if often(5 * time.Second) {
		a, b := m.random.IntN(len(m.hosts)), m.random.IntN(len(m.hosts))
		m.cut[[2]int{min(a, b), max(a, b)}] = until(40 * time.Second)
	}
	if often(10 * time.Second) {
		pick().storeCut = until(40 * time.Second)
	}
	if often(20 * time.Second) {
		pick().frozenUntil = until(25 * time.Second)
	}
	if often(30 * time.Second) {
		m.restart(pick())
	}
	if often(12 * time.Second) {
		m.lead(pick())
	}
	// A leader writes further plans, and two hosts may take the lead in turns.
	if often(2 * time.Second) {
		m.lead(m.byName(m.log[len(m.log)-1].leader.Name))
	}
	if n := len(m.log); n > 1 && often(15*time.Second) {
		m.lead(m.byName(m.log[n-2].leader.Name))
	}
}

func (m *model) byName(name string) *modelHost {
	for _, h := range m.hosts {
		if h.Name == name {
			return h
		}
	}
	panic("no host " + name)
}

// lead lets a host write a plan as leader if it can.
func (m *model) lead(h *modelHost) {
	if m.now < h.storeCut || m.now < h.frozenUntil {
		return
	}
	if m.log[len(m.log)-1].leader != h.Member {
		m.terms++
	}
	m.write(h)
}

// usable returns the sum of the fractions of a limit that all hosts may use now.
func (m *model) usable(id string) float64 {
	sum := 0.0
	for _, h := range m.hosts {
		if l := h.holder.limits[id]; l != nil {
			sum += l.usable(h.clock(m))
		}
	}
	return sum
}

// excess runs the model for the given time, and returns the first sum of usable shares above 1 and its time.
func (m *model) excess(d time.Duration) (float64, time.Duration) {
	for end := m.now + d; m.now < end; {
		m.step()
		for _, id := range m.limits {
			sum := m.usable(id)
			m.granted += sum
			if sum > 1+1e-9 {
				return sum, m.now
			}
		}
	}
	return 0, 0
}

const (
	modelSeeds = 150
	modelTime  = 4 * time.Minute
)

// TestSharesNeverExceedTheLimit guards against a limit that is given out twice: by two leaders, after a restart, a freeze or
// a cut, or through a message that is lost or late.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	granted, terms := 0.0, 0
	for seed := range uint64(modelSeeds) {
		m := newModel(seed, 3+int(seed%5), nil)
		if sum, at := m.excess(modelTime); sum > 0 {
			t.Fatalf("seed %d: shares of %.3f at %v", seed, sum, at)
		}
		granted += m.granted / (modelTime.Seconds() / modelStep.Seconds()) / float64(len(m.limits)) / modelSeeds
		terms += m.terms
	}
	// A model in which no shares are given shows nothing.
	if granted < 0.2 || terms < modelSeeds {
		t.Fatalf("mean sum of shares %.2f, %d terms", granted, terms)
	}
	t.Logf("mean sum of shares %.2f, %d terms", granted, terms)
}

// TestModelDetectsMutations guards against a model that would not notice the loss of one of the waits.
func TestModelDetectsMutations(t *testing.T) {
	for name, mutate := range map[string]func(*Allocator){
		"a new leader does not wait":                    func(a *Allocator) { a.settling = 0 },
		"a share is free before its lease has ended":    func(a *Allocator) { a.reserved = DefaultTiming.Lease / 2 },
		"a leader answers by a plan that is not newest": func(a *Allocator) { a.timing.MaxPlanAge = time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(modelSeeds) {
				m := newModel(seed, 3+int(seed%5), mutate)
				if sum, at := m.excess(modelTime); sum > 0 {
					t.Logf("seed %d: shares of %.3f at %v", seed, sum, at)
					return
				}
			}
			t.Fatal("not detected")
		})
	}
}
