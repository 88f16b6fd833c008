package front

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/conntest"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// probeServer probes the server of the first entry, as a host does that knows all the entries.
func probeServer(dial transport.DialFunc, guard *poison.Guard, entries ...fleet.Entry) {
	f := fleet.New(fleet.Options{Target: func(addr string) *transport.Target {
		return transport.NewTarget(addr, transport.Options{Dial: dial})
	}})
	f.Set(entries, 0)
	server, _ := f.Server(entries[0].ID)
	newProbes(Config{Dial: dial, Guard: guard, Fleet: f, Clock: clock.Monotonic, Log: eventlog.Discard()}).probe(server)
}

// breakUnder makes the connection to a server break under a request.
func breakUnder(t *testing.T, guard *poison.Guard, entry fleet.Entry, f poison.Fingerprint) {
	t.Helper()
	attempt, _, ok := guard.Begin(t.Context(), GuardServer(entry), f)
	assert.Assert(t, ok)
	attempt.SentShared()
	attempt.End(poison.Broken)
}

// TestProbeTellsACrashFromALostAnswer checks that a request whose connection broke is suspect at once
// if its server refuses connections, and no longer if the server accepts them.
func TestProbeTellsACrashFromALostAnswer(t *testing.T) {
	for name, listens := range map[string]bool{"crashed": false, "lost answer": true} {
		t.Run(name, func(t *testing.T) {
			listener := conntest.Listen(t)
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
			probeServer(transport.Dialer(""), guard, entry)
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
	listener := conntest.Listen(t)
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conn.Close()
		}
	}()
	entry := fleet.Entry{ID: "a", Addr: listener.Addr().String(), Born: 1}
	guard := poison.NewGuard(poison.Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
	f := poison.Fingerprint{1}
	breakUnder(t, guard, entry, f)
	probeServer(transport.Dialer(""), guard, entry)
	guard.ServerCrashed(GuardServer(entry), poison.Discovery)
	assert.Equal(t, guard.Check(f), poison.Suspect)
}

// TestResetProbeProvesNoCrash is a regression test: a probe whose connection was reset, as by a server that is
// full, counted as a crash.
func TestResetProbeProvesNoCrash(t *testing.T) {
	for err, want := range map[syscall.Errno]poison.Suspicion{
		syscall.ECONNRESET: poison.Clean, syscall.ETIMEDOUT: poison.Clean, syscall.ECONNREFUSED: poison.Suspect,
	} {
		entry := fleet.Entry{ID: "a", Addr: "10.0.0.1:80", Born: 1}
		guard := poison.NewGuard(poison.Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
		f := poison.Fingerprint{1}
		breakUnder(t, guard, entry, f)
		dial := func(context.Context, string, string) (net.Conn, error) { return nil, err }
		probeServer(dial, guard, entry)
		assert.Equal(t, guard.Check(f), want, "%v", err)
	}
}

// TestHostThatIsCutOffProvesNoCrash is a regression test (RECOVER on Riga): a host whose connections to all servers
// were reset and refused counted a crash for each, and innocent requests were stopped on all hosts.
func TestHostThatIsCutOffProvesNoCrash(t *testing.T) {
	alive := conntest.Listen(t)
	defer alive.Close()
	refused, reached := "127.0.0.1:1", alive.Addr().String()
	server := func(id, zone, addr string) fleet.Entry {
		return fleet.Entry{ID: fleet.ID(id), Zone: zone, Addr: addr, Born: 1}
	}
	broken := server("a", "zlin", refused)
	for name, c := range map[string]struct {
		others []fleet.Entry
		want   poison.Suspicion
	}{
		"no server is reached":          {[]fleet.Entry{server("b", "zlin", refused), server("c", "brno", refused)}, poison.Clean},
		"its zone is not reached":       {[]fleet.Entry{server("b", "zlin", refused), server("c", "brno", reached)}, poison.Clean},
		"another of its zone is":        {[]fleet.Entry{server("b", "zlin", refused), server("c", "zlin", reached)}, poison.Suspect},
		"alone in its zone":             {[]fleet.Entry{server("c", "brno", reached)}, poison.Suspect},
		"there is nothing to compare":   {nil, poison.Suspect},
		"one that is silent is no help": {[]fleet.Entry{server("b", "zlin", "192.0.2.1:1")}, poison.Clean},
	} {
		t.Run(name, func(t *testing.T) {
			guard := poison.NewGuard(poison.Bounds{CrashLimit: 3, SharedCrashLimit: 3, Retention: time.Minute})
			f := poison.Fingerprint{1}
			breakUnder(t, guard, broken, f)
			dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr == "192.0.2.1:1" {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return transport.Dialer("")(ctx, network, addr)
			}
			probeServer(dial, guard, append([]fleet.Entry{broken}, c.others...)...)
			assert.Equal(t, guard.Check(f), c.want)
			next, _, ok := guard.Begin(t.Context(), GuardServer(server("d", "zlin", reached)), f)
			assert.Assert(t, ok)
			assert.Equal(t, next.Alone, c.want == poison.Suspect, "the request does not run alone for what is no doubt")
		})
	}
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
	assert.DeepEqual(t, s.ingress.sendKeyed(t.Context(), request("revize", true), anyHost), unknown(reasonPoison))
	assert.DeepEqual(t, s.ingress.serveKeyless(t.Context(), request("archiv", false)), unknown(reasonPoison))
	assert.Assert(t, s.ingress.clock()-now < time.Second)
	assert.Equal(t, len(server.seen()), 0)
}

// TestServerBackUnderItsOldEntryCrashesOnlyThreeTimes is a regression test (BUDGET on Riga): while the
// service discovery is away, a request crashed a server each time that it was back at its address.
func TestServerBackUnderItsOldEntryCrashesOnlyThreeTimes(t *testing.T) {
	s := newSystem(t, startServer(t, answerOK))
	listener := conntest.Listen(t)
	addr := listener.Addr().String()
	s.fleet.Set([]fleet.Entry{{ID: "archiv-0", Service: "archiv", Addr: addr, Zone: "zlin", Slots: 4, Born: 1}}, 0)
	runs := 0
	for range 5 {
		ran := make(chan bool, 1)
		go func() { ran <- crashUnderRequest(listener) }()
		_, _, err := s.call(t, "POST", "/post/x", "deadly")
		assert.NilError(t, err)
		listener.Close()
		if <-ran {
			runs++
		}
		records := awaitEvidence(s.ingress.config.Guard, runs)
		assert.Equal(t, records, runs, "crashes that the guard knows")
		listener, err = net.Listen("tcp", addr)
		assert.NilError(t, err)
	}
	listener.Close()
	assert.Equal(t, runs, 3)
}

// crashUnderRequest accepts one connection, reads a request and ends as a crashed server does. It
// returns false if the listener is closed before.
func crashUnderRequest(listener net.Listener) bool {
	conn, err := listener.Accept()
	if err != nil {
		return false
	}
	http.ReadRequest(bufio.NewReader(conn))
	listener.Close()
	conn.Close()
	return true
}

// awaitEvidence waits until the guard has a number of records, at most some seconds. It returns the
// number that it has.
func awaitEvidence(guard *poison.Guard, want int) int {
	deadline := time.Now().Add(3 * time.Second)
	for {
		records, _ := guard.Export(0)
		if len(records) >= want || time.Now().After(deadline) {
			return len(records)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
