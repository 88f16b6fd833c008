package front

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/admission"
	"github.com/poplarcroft/poplarcroft/internal/dispatch"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// fakeAdmission is a dispatcher whose answers a test sets.
type fakeAdmission struct {
	mu sync.Mutex
	// answer decides on a request.
	answer func(ask admission.Ask) admission.Answer
	asks   []admission.Ask
	ends   []dispatch.PoolEnd
	// alone is the number of requests that are being sent without a ticket.
	alone, sentAlone int
}

func (f *fakeAdmission) Uses(service string) bool { return service == "archiv" }

func (f *fakeAdmission) Admit(_ context.Context, ask admission.Ask) admission.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asks = append(f.asks, ask)
	return f.answer(ask)
}

func (f *fakeAdmission) Finish(_ admission.Ticket, end dispatch.PoolEnd, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, end)
}

func (f *fakeAdmission) SentAlone(fleet.ID) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alone++
	f.sentAlone++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.alone--
	}
}

// grant admits each request to the first server that is not excluded.
func (f *fakeAdmission) grant(s *system) func(admission.Ask) admission.Answer {
	return func(ask admission.Ask) admission.Answer {
		for _, server := range s.fleet.Servers("archiv") {
			excluded := false
			for _, id := range ask.Excluded {
				excluded = excluded || id == server.Entry().ID
			}
			if !excluded {
				return admission.Answer{Outcome: admission.Granted, Server: server}
			}
		}
		return admission.Answer{}
	}
}

// newAdmitted returns a system whose requests without keys a fake dispatcher admits.
func newAdmitted(t *testing.T, servers ...*backendServer) (*system, *fakeAdmission) {
	s := newSystem(t, servers...)
	f := &fakeAdmission{}
	f.answer = f.grant(s)
	s.ingress.config.Admission = f
	return s, f
}

// TestDispatcherChoosesTheServer guards against a host that sends to another server than it was admitted to, against
// tickets that are never finished, and against pools for keyed services.
func TestDispatcherChoosesTheServer(t *testing.T) {
	first, second := startServer(t, answerShed), startServer(t, answerOK)
	s, f := newAdmitted(t, first, second)
	response, _, err := s.call(t, http.MethodGet, "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, len(first.seen()), 1)
	assert.Equal(t, len(second.seen()), 1)
	assert.DeepEqual(t, f.ends, []dispatch.PoolEnd{dispatch.PoolFull, dispatch.PoolAnswered})
	assert.DeepEqual(t, f.asks[1].Excluded, []fleet.ID{"archiv-0"})
	assert.Assert(t, f.asks[0].Caller != 0 && f.asks[0].Caller == f.asks[1].Caller)
	s.call(t, http.MethodGet, "/keyed/x", "")
	assert.Equal(t, len(f.asks), 2)
}

// TestDeniedRequestIsRefusedWithItsTime guards against a refused request that is sent all the same, and against another
// time than the dispatcher has assigned.
func TestDeniedRequestIsRefusedWithItsTime(t *testing.T) {
	server := startServer(t, answerOK)
	s, f := newAdmitted(t, server)
	f.answer = func(admission.Ask) admission.Answer {
		return admission.Answer{Outcome: admission.Denied, RetryAfter: 437 * time.Millisecond}
	}
	response, _, err := s.call(t, http.MethodPost, "/post/x", "body")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, response.Header.Get("Retry-After"), "0.437")
	assert.Equal(t, len(server.seen()), 0)
}

// TestHostChoosesByItselfWithoutADispatcher guards against refusals while no dispatcher answers, and against requests that
// are not counted.
func TestHostChoosesByItselfWithoutADispatcher(t *testing.T) {
	server := startServer(t, answerOK)
	s, f := newAdmitted(t, server)
	f.answer = func(admission.Ask) admission.Answer { return admission.Answer{} }
	response, _, err := s.call(t, http.MethodGet, "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, f.sentAlone, 1)
	assert.Equal(t, f.alone, 0)
	assert.Equal(t, len(f.ends), 0)
}

// TestAdmittedRequestOfACallerThatHasLeftIsNotSent guards against work that nobody waits for.
func TestAdmittedRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
	server := startServer(t, answerOK)
	s, f := newAdmitted(t, server)
	ctx, leave := context.WithCancel(t.Context())
	grant := f.answer
	f.answer = func(ask admission.Ask) admission.Answer {
		leave()
		return grant(ask)
	}
	table := s.ingress.config.Table()
	route, _ := table.Lookup("a.example", "/any/x")
	r := &Request{ID: "1", Route: route, Service: table.Services["archiv"], Method: http.MethodGet, Path: "/any/x", Header: http.Header{},
		Arrived: s.ingress.clock(), Deadline: s.ingress.clock() + time.Minute}
	result := s.ingress.sendKeyless(ctx, r)
	assert.Equal(t, result.Kind, NotRun)
	assert.Equal(t, len(server.seen()), 0)
	assert.DeepEqual(t, f.ends, []dispatch.PoolEnd{dispatch.PoolNotSent})
}

// TestServerStillDecidesLast guards against requests to a cold server beyond its allowance, or to one that has named a
// limit, because a dispatcher has admitted them: they go back to the pool as not run.
func TestServerStillDecidesLast(t *testing.T) {
	for name, restrict := range map[string]func(*system, *fleet.Server){
		"cold": func(s *system, server *fleet.Server) {
			s.ingress.config.ColdRateLimit = func(routetable.Service) float64 { return 0 }
			server.MarkCold(time.Minute, s.ingress.clock())
		},
		"paused": func(s *system, server *fleet.Server) { server.Pause(s.ingress.clock() + time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			closed, open := startServer(t, answerOK), startServer(t, answerOK)
			s, f := newAdmitted(t, closed, open)
			server, _ := s.fleet.Server("archiv-0")
			restrict(s, server)
			response, _, err := s.call(t, http.MethodGet, "/any/x", "")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200)
			assert.Equal(t, len(closed.seen()), 0)
			assert.Equal(t, len(open.seen()), 1)
			assert.Equal(t, f.ends[len(f.ends)-1], dispatch.PoolAnswered)
			if len(f.ends) > 1 {
				assert.Equal(t, f.ends[0], dispatch.PoolNotSent)
			}
		})
	}
}
