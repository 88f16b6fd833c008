package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	simulatedServers = 3
	simulatedSlots   = 4
	// poisonRequest is the first byte of the fingerprint of the poison request.
	poisonRequest = byte(0)
)

// execution is a request in execution on a simulated server.
type execution struct {
	server      Server
	number      uint64
	fingerprint Fingerprint
	alone       bool
}

// crashSimulation simulates the servers of one host, callers that repeat their requests, and one
// poison request. A crash may be noticed late.
type crashSimulation struct {
	tracker      *Tracker
	now          time.Time
	servers      [simulatedServers]Server
	executions   []execution
	unnoticed    []Server
	incarnations int
	crashes      int
}

func (m *crashSimulation) restart(index int) {
	m.servers[index] = Server{Addr: string(rune('a' + index)), Incarnation: incarnation(m.incarnations).Incarnation}
	m.incarnations++
}

// send starts a request if its server has a free slot and no request that runs alone.
func (m *crashSimulation) send(index int, f Fingerprint) {
	server := m.servers[index]
	count, alone := 0, false
	for _, r := range m.executions {
		if r.server == server {
			count++
			alone = alone || r.alone
		}
		if r.fingerprint == f {
			return
		}
	}
	if alone || count >= simulatedSlots {
		return
	}
	number, decision := m.tracker.Begin(m.now, server, f)
	if !decision.Allowed {
		return
	}
	if decision.Alone && count > 0 {
		m.tracker.End(m.now, server, number, Rejected)
		return
	}
	m.tracker.Sent(server, number, false)
	m.executions = append(m.executions, execution{server: server, number: number, fingerprint: f, alone: decision.Alone})
}

// end finishes a request, or crashes its server if it is the poison request.
func (m *crashSimulation) end(i int, index func(Server) int) {
	ended := m.executions[i]
	if ended.fingerprint[0] != poisonRequest {
		m.tracker.End(m.now, ended.server, ended.number, Finished)
		m.executions = append(m.executions[:i], m.executions[i+1:]...)
		return
	}
	m.crashes++
	var kept []execution
	for _, r := range m.executions {
		if r.server != ended.server {
			kept = append(kept, r)
			continue
		}
		m.tracker.End(m.now, r.server, r.number, Broken)
	}
	m.executions = kept
	m.unnoticed = append(m.unnoticed, ended.server)
	m.restart(index(ended.server))
}

func TestOnlyThePoisonRequestIsFound(t *testing.T) {
	// Some faults need a rare order of steps, which rapid's default number of runs seldom finds.
	const rounds = 20
	for range rounds {
		rapid.Check(t, findPoison)
	}
}

func findPoison(t *rapid.T) {
	store := NewEvidenceStore(bounds)
	m := &crashSimulation{tracker: NewTracker(store), now: start}
	for i := range m.servers {
		m.restart(i)
	}
	index := func(s Server) int { return int(s.Addr[0] - 'a') }
	noticeCrashes := func() {
		for _, server := range m.unnoticed {
			m.tracker.ServerCrashed(m.now, server, Discovery)
		}
		m.unnoticed = nil
	}
	t.Repeat(map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			server := rapid.IntRange(0, simulatedServers-1).Draw(t, "server")
			m.send(server, Fingerprint{rapid.Byte().Draw(t, "request") % 6})
		},
		"end": func(t *rapid.T) {
			if len(m.executions) > 0 {
				m.end(rapid.IntRange(0, len(m.executions)-1).Draw(t, "run"), index)
			}
		},
		"notice": func(*rapid.T) { noticeCrashes() },
		"time": func(*rapid.T) {
			m.now = m.now.Add(100 * time.Millisecond)
			noticeCrashes()
		},
		"": func(t *rapid.T) {
			for f := byte(1); f < 6; f++ {
				assert.Assert(t, store.Check(m.now, Fingerprint{f}) != Blocked, "request %d, which crashes nothing, is blocked", f)
			}
			assert.Assert(t, m.crashes <= bounds.CrashLimit, "%d crashes", m.crashes)
		},
	})
}
