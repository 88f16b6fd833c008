package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Config is what a door needs of its host.
type Config struct {
	Headers Headers
	Fleet   *fleet.Fleet
	Current *assign.Current
	// Self is the name of this host. Hosts holds the connections to the others.
	Self  string
	Hosts *transport.Pool
	// Guard finds requests that crash servers.
	Guard *poison.Guard
	// Table returns the configuration in force, or nil where none is known yet.
	Table func() *routetable.Table
	// ColdTotal returns what a cold server of the service takes in any second from all hosts.
	ColdTotal func(service routetable.Service) float64
	// Budget bounds the repeats of a service over all hosts.
	Budget BudgetConfig
	Clock  func() time.Duration
	Log    *eventlog.Log
}

// Door takes callers' requests. It is safe for concurrent use.
type Door struct {
	config  Config
	headers Headers
	fleet   *fleet.Fleet
	clock   func() time.Duration
	log     *eventlog.Log
	usual   usualLatency
	budgets budgets
	keys    keyRates
	leads   *leads
	gates   gates
	// Counters are published on the metrics address.
	Counters Counters

	mu      sync.Mutex
	leaving bool
}

// New returns a door.
func New(config Config) *Door {
	return &Door{
		config:  config,
		headers: config.Headers,
		fleet:   config.Fleet,
		clock:   config.Clock,
		log:     config.Log,
		budgets: budgets{config: config.Budget},
		leads:   newLeads(config.Self, config.Clock),
		gates:   gates{clock: config.Clock},
	}
}

// Leave makes the door ask callers to open new connections elsewhere.
func (d *Door) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

func (d *Door) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// KeyRates returns the request rates of the keys whose servers this host sends to.
func (d *Door) KeyRates() map[string]map[keyrange.Key]keyrange.CentiRate {
	return d.keys.take(d.clock())
}

// Pressed reports whether requests wait for a place at a server that owns keys.
func (d *Door) Pressed() bool {
	return d.gates.queued()
}

// ServeHTTP takes one request.
func (d *Door) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if d.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	arrived := d.clock()
	table := d.config.Table()
	if table == nil {
		w.Header().Set("Retry-After", "0.5")
		refuse(w, http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	route, ok := table.Lookup(hr.Host, hr.URL.EscapedPath())
	if !ok {
		d.log.Event("answer", "id", hr.Header.Get(d.headers.RequestID), "host", hr.Host, "path", hr.URL.Path,
			"status", 404, "config", uint64(table.Version))
		refuse(w, http.StatusNotFound, "no route")
		return
	}
	r, status, err := d.read(hr, table, route, arrived)
	if err != nil {
		d.log.Event("answer", "id", hr.Header.Get(d.headers.RequestID), "route", route.Name, "status", status, "err", err.Error())
		refuse(w, status, err.Error())
		return
	}
	ctx, cancel := d.contextOf(hr, r)
	defer cancel()
	result := d.handle(ctx, r)
	if hr.Context().Err() != nil && result.Kind != Done {
		result.Reason = reasonCallerGone
	}
	sent := write(w, result)
	d.note(r, result, sent)
}

// read takes the request apart.
func (d *Door) read(hr *http.Request, table *routetable.Table, route *routetable.Route, arrived time.Duration) (*Request, int, error) {
	r := &Request{
		ID:      hr.Header.Get(d.headers.RequestID),
		Route:   route,
		Method:  hr.Method,
		Path:    hr.RequestURI,
		Host:    hr.Host,
		Arrived: arrived,
	}
	if r.ID == "" {
		return nil, http.StatusBadRequest, errNoID
	}
	service, ok := table.Services[route.Pick(rand.Float64())]
	if !ok {
		return nil, http.StatusServiceUnavailable, errors.New("the route's service is not configured")
	}
	r.Service = service
	if service.Keyed {
		key, err := parseKey(hr.Header.Get(d.headers.Key))
		if err != nil {
			return nil, http.StatusBadRequest, err
		}
		r.Key = key
	}
	body, err := readBody(hr, table.Limits.BodyBytes)
	if errors.Is(err, errBodyTooBig) {
		return nil, http.StatusRequestEntityTooLarge, err
	}
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	r.Body = body
	r.Header = transport.EndToEnd(hr.Header)
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps the HTTP library from adding its own.
		r.Header["User-Agent"] = []string{""}
	}
	r.Print = fingerprint(r, hr.RemoteAddr, hr.Header.Get(d.headers.Key))
	r.Deadline = arrived + patience(hr.Header, d.headers.DeadlineMS, route.Timeout)
	return r, 0, nil
}

// contextOf ends at the deadline, and for idempotent requests when the caller leaves. One that
// is not idempotent is let finish, since breaking it off would leave open whether it has run.
func (d *Door) contextOf(hr *http.Request, r *Request) (context.Context, context.CancelFunc) {
	parent := hr.Context()
	if !r.Route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, r.Deadline-d.clock())
}

func (d *Door) handle(ctx context.Context, r *Request) Result {
	if d.config.Guard.Check(r.Print) == poison.Condemned {
		return unknown(reasonCrashes)
	}
	if r.Service.Keyed {
		return d.serveKeyed(ctx, r)
	}
	d.budgets.request(r.Service.Name, d.clock())
	return d.serveAny(ctx, r)
}

// allowance is this host's share of what a cold server of the request's service takes.
func (d *Door) allowance(r *Request) fleet.Allowance {
	hosts := len(d.config.Current.Plan().Hosts)
	return fleet.ShareOf(d.config.ColdTotal(r.Service), max(hosts, 1))
}

// note counts and logs the end of a request.
func (d *Door) note(r *Request, result Result, status int) {
	took := d.clock() - r.Arrived
	d.Counters.count(r, result, took)
	fields := []any{"id", r.ID, "route", r.Route.Name, "service", r.Service.Name, "status", status, "ms", took.Milliseconds()}
	if result.Kind == Done {
		d.log.Routine("answer", fields...)
		return
	}
	d.log.Event("answer", append(fields, "outcome", result.Kind.String(), "reason", result.Reason,
		"retry_after_ms", result.RetryAfter.Milliseconds())...)
}
