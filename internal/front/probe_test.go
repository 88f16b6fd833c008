package front

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// TestProbeTellsACrashFromALostAnswer checks that a request whose connection broke is suspect at once
// if its server refuses connections, and no longer if the server accepts them.
func TestProbeTellsACrashFromALostAnswer(t *testing.T) {
	for name, listens := range map[string]bool{"crashed": false, "lost answer": true} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			defer listener.Close()
			entry := fleet.Entry{ID: "a", Addr: listener.Addr().String(), Born: 1}
			guard := poison.NewGuard(poison.Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
			f := poison.Fingerprint{1}
			attempt, _, ok := guard.Begin(t.Context(), GuardServer(entry), f)
			assert.Assert(t, ok)
			attempt.SentShared()
			if !listens {
				listener.Close()
			}
			attempt.End(poison.Broken)
			newProbes(transport.Dialer(""), guard, eventlog.Discard()).probe(entry)
			want := poison.Suspect
			if listens {
				want = poison.Clean
			}
			assert.Equal(t, guard.Check(f), want)
			again, _, ok := guard.Begin(t.Context(), GuardServer(fleet.Entry{ID: "b"}), f)
			assert.Assert(t, ok)
			assert.Equal(t, again.Alone, !listens)
		})
	}
}

// TestProbeDoesNotTrustAConnectionThatEnds checks that a server that accepts a connection and closes it,
// as one may that is ending, does not count as alive.
func TestProbeDoesNotTrustAConnectionThatEnds(t *testing.T) {
	listener := listen(t)
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conn.Close()
		}
	}()
	entry := fleet.Entry{ID: "a", Addr: listener.Addr().String(), Born: 1}
	guard := poison.NewGuard(poison.Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	f := poison.Fingerprint{1}
	attempt, _, ok := guard.Begin(t.Context(), GuardServer(entry), f)
	assert.Assert(t, ok)
	attempt.SentShared()
	attempt.End(poison.Broken)
	newProbes(transport.Dialer(""), guard, eventlog.Discard()).probe(entry)
	guard.ServerCrashed(GuardServer(entry), poison.Discovery)
	assert.Equal(t, guard.Check(f), poison.Suspect)
}

// TestBlockedRequestGetsItsAnswerAtOnce is a regression test: a request that the guard did not allow
// was taken for one that could not be sent, and was tried again until its goal had nearly passed. A
// host that forwards a request may lack the evidence that the primary has.
func TestBlockedRequestGetsItsAnswerAtOnce(t *testing.T) {
	server := startServer(t, answerOK)
	s := newSystem(t, server)
	var records []poison.Record
	f := poison.Fingerprint{1}
	for n := range 3 {
		records = append(records, poison.Record{Fingerprint: f, Death: poison.Server{Incarnation: strconv.Itoa(n)}})
	}
	s.ingress.config.Guard.Import(records, poison.OtherHost)
	now := s.ingress.clock()
	request := func(service string, keyed bool) *Request {
		return &Request{
			Route: &routetable.Route{Goal: 5 * time.Second, Attempts: 2}, Service: routetable.Service{Name: service, Keyed: keyed},
			Fingerprint: f, Arrived: now, Deadline: now + time.Minute,
		}
	}
	assert.DeepEqual(t, s.ingress.sendKeyed(t.Context(), request("revize", true)), unknown(reasonPoison))
	assert.DeepEqual(t, s.ingress.serveKeyless(t.Context(), request("archiv", false)), unknown(reasonPoison))
	assert.Assert(t, s.ingress.clock()-now < time.Second)
	assert.Equal(t, len(server.seen()), 0)
}
