package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	modelServers = 3
	modelSlots   = 4
	// poisonous is the fingerprint of the request that crashes every server.
	poisonous = byte(0)
)

// run is a request in execution in the model.
type run struct {
	server      Server
	number      uint64
	fingerprint Fingerprint
	alone       bool
}

// crashModel models servers of one host, callers that send their requests again
// and again, and one request that crashes its server. Deaths may be noticed late.
type crashModel struct {
	tracker *Tracker
	now     time.Time
	servers [modelServers]Server
	runs    []run
	unknown []Server
	born    int
	deaths  int
}

func (m *crashModel) restart(index int) {
	m.servers[index] = Server{Addr: string(rune('a' + index)), Incarnation: incarnation(m.born).Incarnation}
	m.born++
}

// send starts a request if its server has room for it.
func (m *crashModel) send(index int, f Fingerprint) {
	server := m.servers[index]
	count, alone := 0, false
	for _, r := range m.runs {
		if r.server == server {
			count++
			alone = alone || r.alone
		}
		if r.fingerprint == f {
			return
		}
	}
	if alone || count >= modelSlots {
		return
	}
	number, begun := m.tracker.Begin(m.now, server, f)
	if !begun.Allowed {
		return
	}
	if begun.Alone && count > 0 {
		m.tracker.End(m.now, server, number, Refused)
		return
	}
	m.tracker.Sent(server, number, false)
	m.runs = append(m.runs, run{server: server, number: number, fingerprint: f, alone: begun.Alone})
}

// end finishes a request, or crashes its server if it is the poisonous one.
func (m *crashModel) end(i int, index func(Server) int) {
	ended := m.runs[i]
	if ended.fingerprint[0] != poisonous {
		m.tracker.End(m.now, ended.server, ended.number, Finished)
		m.runs = append(m.runs[:i], m.runs[i+1:]...)
		return
	}
	m.deaths++
	var kept []run
	for _, r := range m.runs {
		if r.server != ended.server {
			kept = append(kept, r)
			continue
		}
		m.tracker.End(m.now, r.server, r.number, Broken)
	}
	m.runs = kept
	m.unknown = append(m.unknown, ended.server)
	m.restart(index(ended.server))
}

func TestPoisonIsFoundAndItsCompanyIsNot(t *testing.T) {
	// Some faults need a rare order of steps: rapid's default is too few runs.
	const rounds = 20
	for range rounds {
		rapid.Check(t, findPoison)
	}
}

func findPoison(t *rapid.T) {
	memory := NewMemory(bounds)
	m := &crashModel{tracker: NewTracker(memory), now: start}
	for i := range m.servers {
		m.restart(i)
	}
	index := func(s Server) int { return int(s.Addr[0] - 'a') }
	notice := func() {
		for _, server := range m.unknown {
			m.tracker.ServerDied(m.now, server)
		}
		m.unknown = nil
	}
	t.Repeat(map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			server := rapid.IntRange(0, modelServers-1).Draw(t, "server")
			m.send(server, Fingerprint{rapid.Byte().Draw(t, "request") % 6})
		},
		"end": func(t *rapid.T) {
			if len(m.runs) > 0 {
				m.end(rapid.IntRange(0, len(m.runs)-1).Draw(t, "run"), index)
			}
		},
		"notice": func(*rapid.T) { notice() },
		"time": func(*rapid.T) {
			m.now = m.now.Add(100 * time.Millisecond)
			notice()
		},
		"": func(t *rapid.T) {
			for f := byte(1); f < 6; f++ {
				assert.Assert(t, memory.Check(m.now, Fingerprint{f}) != Condemned, "innocent %d condemned", f)
			}
			assert.Assert(t, m.deaths <= bounds.Deaths, "%d deaths", m.deaths)
		},
	})
}
