package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/concurrency"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/keyrange"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/payload"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// Reach knows which hosts reach backend servers.
type Reach interface {
	// CutOff reports whether the host with the name is known to reach no server at all.
	CutOff(host string) bool
	// Suspect is called after an attempt that got no answer. It must not block.
	Suspect()
}

// Config holds the dependencies and settings of an Ingress.
type Config struct {
	Headers Headers
	// Fleet holds the backend servers, and Current the plan that says which server owns which keys.
	Fleet   *fleet.Fleet
	Current *assign.Current
	// Self is the name of this host. Hosts holds the connections to the other hosts.
	Self  string
	Hosts *transport.Pool
	// AskLeaving asks another host whether it is shutting down.
	AskLeaving func(ctx context.Context, host assign.Host) (bool, error)
	// Guard detects requests that crash servers. Dial opens the connections that show whether a
	// server has crashed.
	Guard *poison.Guard
	Dial  transport.DialFunc
	// Reach knows which hosts reach servers.
	Reach Reach
	// Admission asks for slots at servers of services without keys. If it is nil, this host chooses servers by itself.
	Admission Admission
	// Table returns the configuration in force for callers, or nil if there is none yet.
	Table func() *routetable.Table
	// KnownTable returns the newest configuration that this host knows, also while it is not in force for callers. It
	// serves for requests of other hosts. Nil stands for Table.
	KnownTable func() *routetable.Table
	// Behind reports whether other hosts are known to have a newer configuration, which may have routes that this host does not
	// know yet. Nil stands for a host that never is.
	Behind func() bool
	// ColdRateLimit returns the maximum number of requests per second, from all hosts together,
	// to one cold server of the service.
	ColdRateLimit func(service routetable.Service) float64
	// OnFact is called when an answer shows something about a server that other hosts should know. It
	// must not block.
	OnFact func(entry fleet.Entry, fact Fact)
	// BodyMemory is the maximum number of bytes of all bodies that the host holds, and LinkBytesPerS the rate of its link
	// in bytes per second. Zero means that there is no such bound, or that the rate is not known.
	BodyMemory    int64
	LinkBytesPerS float64
	// Budget is the retry budget of each service over all hosts.
	Budget BudgetConfig
	// Shares holds this host's shares of the quotas of accounts and of the allowances of cold servers. It may be nil if
	// no quota is to be kept.
	Shares *sharedlimit.Holder
	// Usage counts what this host admits of quotas that are far from being reached. Without it every request needs a share.
	Usage *sharedlimit.Usage
	// Clock is a monotonic clock; all times in this package are readings of it.
	Clock func() time.Duration
	Log   *eventlog.Log
}

// Ingress receives callers' requests, and those that other hosts forward, and sends them to
// backend servers. The metrics call it "door". It is safe for concurrent use.
type Ingress struct {
	config    Config
	headers   Headers
	fleet     *fleet.Fleet
	clock     func() time.Duration
	log       *eventlog.Log
	baseline  baselineLatency
	budgets   budgets
	keyRates  keyRates
	primaries *primaries
	gates     admissionGates
	probes    *probes
	answers   answerMemory
	memory    *payload.Memory
	link      linkMeter
	// unauthorizedLines bounds the log lines about requests without a known key.
	unauthorizedLines boundedLines
	// answeredAt is the clock's reading when a server last answered an attempt.
	answeredAt atomic.Int64
	// Counters are published on the metrics endpoint.
	Counters Counters
	// Learner learns how fast servers are and how many requests they take well.
	Learner concurrency.Learner

	// lastPhase is that of the shutdown.
	lastPhase *lastPhase
	// forwarded is the number of requests of other hosts in progress.
	forwarded atomic.Int64
	// ending ends when requests have to end at once because the host is about to stop.
	ending      context.Context
	endRequests context.CancelFunc

	// forwarders knows which other hosts are shutting down.
	forwarders leavingHosts

	mu sync.Mutex
	// leaving says that the host is shutting down.
	leaving bool
}

// New returns an Ingress that is ready to serve requests.
func New(config Config) *Ingress {
	if config.Behind == nil {
		config.Behind = func() bool { return false }
	}
	if config.KnownTable == nil {
		config.KnownTable = config.Table
	}
	in := &Ingress{
		config:     config,
		headers:    config.Headers,
		fleet:      config.Fleet,
		clock:      config.Clock,
		log:        config.Log,
		budgets:    budgets{config: config.Budget},
		primaries:  newPrimaries(config.Self, config.Reach, config.Clock),
		gates:      admissionGates{clock: config.Clock},
		probes:     newProbes(config),
		memory:     payload.NewMemory(config.BodyMemory),
		link:       linkMeter{rate: config.LinkBytesPerS, clock: config.Clock},
		lastPhase:  newLastPhase(),
		forwarders: leavingHosts{clock: config.Clock, until: make(map[string]time.Duration)},
	}
	in.ending, in.endRequests = context.WithCancel(context.Background())
	in.Learner.OnChange = in.logWidth
	return in
}

// Leave starts the shutdown: callers are asked to close their connections, and requests that
// other hosts forward are refused.
func (in *Ingress) Leave() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.leaving = true
}

// EndRequests gives all requests in progress their final answer, as if their deadline had passed.
func (in *Ingress) EndRequests() {
	in.lastPhase.begin()
	in.endRequests()
}

// Ending returns a context that ends with EndRequests.
func (in *Ingress) Ending() context.Context {
	return in.ending
}

// forwardedPollInterval is the polling interval of AwaitForwarded.
const forwardedPollInterval = 10 * time.Millisecond

// AwaitForwarded waits until no request of another host is in progress, or the context ends.
func (in *Ingress) AwaitForwarded(ctx context.Context) {
	for in.forwarded.Load() > 0 && ctx.Err() == nil {
		loop.Sleep(ctx, forwardedPollInterval)
	}
}

func (in *Ingress) isLeaving() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.leaving
}

// BodyMemory returns the bound of the memory for bodies in bytes (0 for none), the bytes that are held and the most that
// were held, for the metrics endpoint.
func (in *Ingress) BodyMemory() map[string]int64 {
	return in.memory.Snapshot()
}

// KeyRates returns the request rate of each key, by service, of the requests that this host
// itself sends to servers. These are requests for servers whose primary it is, and those whose
// primary it could not reach.
func (in *Ingress) KeyRates() map[string]map[keyrange.Key]keyrange.CentiRate {
	return in.keyRates.rates(in.clock())
}

// Queued reports whether a request waits for a slot at a server that owns keys.
func (in *Ingress) Queued() bool {
	return in.gates.queued()
}

// ServeHTTP handles one request of a caller.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	in.Counters.read.Add(1)
	in.serveCaller(w, hr)
	if in.isLeaving() && http.NewResponseController(w).Flush() != nil {
		// The connection has ended.
		return
	}
	in.Counters.answered.Add(1)
}

// serveCaller handles one request of a caller. It panics with http.ErrAbortHandler to end the connection within an answer.
func (in *Ingress) serveCaller(w http.ResponseWriter, hr *http.Request) {
	if in.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	arrived := in.clock()
	d := in.newDelivery(w, hr)
	table := in.config.Table()
	if table == nil {
		w.Header().Set("Retry-After", "0.5")
		writeRefusal(w, http.StatusServiceUnavailable, "no configuration is known yet")
		return
	}
	route, ok := table.Lookup(hr.Host, hr.URL.EscapedPath())
	if !ok {
		in.refuseUnknownRoute(w, hr, table)
		return
	}
	who, refusal := in.authenticate(hr.Header, table, route.Public)
	if refusal != "" {
		in.refuseUnauthorized(w, hr, route.Name, refusal)
		return
	}
	holds := payload.NewHolding(in.memory)
	defer holds.Release()
	end := payload.LimitTime(w, hr, callerTimeout(hr.Header, in.headers.DeadlineMS, route.Timeout))
	r, status, err := in.read(hr, table, route, who, arrived, holds)
	end(err)
	if err != nil {
		if errors.Is(err, payload.ErrNoMemory) {
			setRetryAfter(w, defaultRetryAfter)
		}
		in.log.Event("answer", "id", hr.Header.Get(in.headers.RequestID), "route", route.Name, "status", status, "err", err.Error())
		writeRefusal(w, status, err.Error())
		return
	}
	r.holds = holds
	r.delivery = d
	r.delivery.stall = in.stallOf(r, callerStall)
	ctx, cancel := in.contextOf(hr, r)
	defer cancel()
	result := notRun(reasonCallerWasGone, 0)
	if !d.callerHasLeft() {
		result = r.refusedUnsent(in.handleWithinQuota(ctx, table, r))
		if hr.Context().Err() != nil && result.Kind != Done {
			result.Reason = reasonCallerGone
		}
	}
	in.finish(r, result, func() int { return writeResult(w, result) })
}

// refuseUnknownRoute refuses a request for which the configuration has no route. While this host lacks a newer configuration, it
// cannot know that there is none: the caller may come back, or go to another host.
func (in *Ingress) refuseUnknownRoute(w http.ResponseWriter, hr *http.Request, table *routetable.Table) {
	status, reason := http.StatusNotFound, "no route"
	if in.config.Behind() {
		status, reason = http.StatusServiceUnavailable, "no route is known yet, a newer configuration is arriving"
		setRetryAfter(w, defaultRetryAfter)
	}
	in.log.Event("answer", "id", hr.Header.Get(in.headers.RequestID), "host", hr.Host, "path", hr.URL.Path, "status", status,
		"config", uint64(table.Version))
	writeRefusal(w, status, reason)
}

// callerStatus returns the HTTP status that the caller gets, or 0 if another host answers the caller.
func callerStatus(r *Request, status int) int {
	if r.Forwarded {
		return 0
	}
	return status
}

// stallOf returns how long the caller may read nothing of the answer, or zero if that is not limited: the bound holds
// where answers are large or the memory is bounded.
func (in *Ingress) stallOf(r *Request, limit time.Duration) time.Duration {
	if r.Route.Large || in.memory.Bounded() {
		return limit
	}
	return 0
}

// finish answers the caller, unless it has a large answer already, and records the result. refuse writes a result that is
// no server's answer and returns the HTTP status. A caller with a part of an answer loses its connection, so that
// the part cannot pass for the whole.
func (in *Ingress) finish(r *Request, result Result, refuse func() int) {
	d := r.delivery
	defer d.use.end(false)
	if d.begun {
		in.recordResult(r, result, callerStatus(r, d.status))
		if result.Kind != Done || !result.Answer.passedOn {
			panic(http.ErrAbortHandler)
		}
		return
	}
	status := 0
	if result.Kind == Done {
		status = d.writeHeld(result.Answer, r.Method == http.MethodHead)
		d.use.end(!d.failed)
	} else {
		status = refuse()
	}
	in.recordResult(r, result, callerStatus(r, status))
	if result.Kind == Done && d.failed {
		in.Counters.countLarge(largeCallerFailed)
		in.log.Event("answer", "id", r.ID, "route", r.Route.Name, "outcome", reasonNotTaken, "bytes", len(result.Answer.Body), "ms", (in.clock() - r.Arrived).Milliseconds())
		panic(http.ErrAbortHandler)
	}
}

// read parses a caller's request that has been authenticated. If the request is not acceptable it returns the HTTP status
// to answer with, and an error.
func (in *Ingress) read(hr *http.Request, table *routetable.Table, route *routetable.Route, who identity, arrived time.Duration, holds *payload.Holding) (*Request, int, error) {
	r := &Request{
		ID:       hr.Header.Get(in.headers.RequestID),
		Route:    route,
		Priority: route.Priority,
		Method:   hr.Method,
		Path:     hr.RequestURI,
		Host:     hr.Host,
		Arrived:  arrived,
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
		key, err := parseKey(hr.Header.Get(in.headers.Key))
		if err != nil {
			return nil, http.StatusBadRequest, err
		}
		r.Key = key
	}
	body, err := payload.Read(hr, table.Limits.BodyBytes, holds)
	if errors.Is(err, payload.ErrNoMemory) {
		return nil, http.StatusServiceUnavailable, err
	}
	if errors.Is(err, payload.ErrTooBig) {
		return nil, http.StatusRequestEntityTooLarge, err
	}
	if errors.Is(err, payload.ErrLate) {
		return nil, http.StatusRequestTimeout, payload.ErrLate
	}
	if err != nil {
		return nil, http.StatusBadRequest, err
	}
	r.Body = body
	r.Header = transport.EndToEnd(hr.Header)
	if _, ok := r.Header["User-Agent"]; !ok {
		// An empty value keeps the HTTP library from adding its default User-Agent.
		r.Header["User-Agent"] = []string{""}
	}
	in.identify(r, who)
	r.Caller = withoutPort(hr.RemoteAddr)
	r.Fingerprint = fingerprint(r, hr.Header.Get(in.headers.Key))
	r.Deadline = arrived + callerTimeout(hr.Header, in.headers.DeadlineMS, route.Timeout)
	return r, 0, nil
}

// contextOf returns the context of a request. It ends at the deadline, before the host stops and, for idempotent
// requests, when the caller disconnects. Requests that are not idempotent go on while they are being sent to a server; see
// callerWatch.
func (in *Ingress) contextOf(hr *http.Request, r *Request) (context.Context, context.CancelFunc) {
	parent := hr.Context()
	if !r.Route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, r.Deadline-in.clock())
	stop := in.watchUnsent(r, cancel)
	stopWatch := func() bool { return true }
	if !r.Route.Idempotent {
		r.watch = &callerWatch{cancel: cancel}
		stopWatch = context.AfterFunc(hr.Context(), r.watch.leave)
	}
	return ctx, func() {
		stopWatch()
		stop()
		cancel()
	}
}

// handle refuses a request that is known to crash servers, and sends all others.
func (in *Ingress) handle(ctx context.Context, r *Request) Result {
	if in.config.Guard.Check(r.Fingerprint) == poison.Blocked {
		return unknown(reasonPoison)
	}
	if r.Service.Keyed {
		return in.serveKeyed(ctx, r)
	}
	return in.serveKeyless(ctx, r)
}

// cutOff reports whether this host reaches no server, so that requests have to go through another host.
func (in *Ingress) cutOff() bool {
	return in.config.Reach.CutOff(in.config.Self)
}

// recordResult counts and logs the result of a request. Status is the HTTP status that the
// caller got, or 0 if another host answers the caller.
func (in *Ingress) recordResult(r *Request, result Result, status int) {
	took := in.clock() - r.Arrived
	in.Counters.count(r, result, took)
	fields := []any{"id", r.ID, "route", r.Route.Name, "service", r.Service.Name, "status", status, "ms", took.Milliseconds()}
	if r.Account != "" {
		fields = append(fields, "account", r.Account)
	}
	if result.Kind == Done {
		in.log.Routine("answer", fields...)
		return
	}
	in.log.Event("answer", append(fields, "outcome", result.Kind.String(), "reason", result.Reason,
		"retry_after_ms", result.RetryAfter.Milliseconds(), "fingerprint", r.Fingerprint.String())...)
}
