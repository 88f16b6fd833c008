package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

const (
	// maxReadEntries limits the entries in one read reply.
	maxReadEntries = 5000
	// maxReadWait limits the time that one read waits for an entry.
	maxReadWait = 30 * time.Second
)

// DownMode is how a log that is down treats requests.
type DownMode string

// Modes of a log that is down.
const (
	// DownNo means that the log is not down.
	DownNo DownMode = ""
	// DownRefuse closes the connection of every request without a response.
	DownRefuse DownMode = "refuse"
	// DownHang leaves every request pending until the mode changes, and then
	// closes its connection. The request has no effect.
	DownHang DownMode = "hang"
)

// LogFaults are the faults of a log; the zero value has none.
type LogFaults struct {
	Down DownMode `json:"down"`
	// DelayMS delays every request, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseEvery drops the response to every n-th append after the append has
	// taken effect; zero drops none.
	LoseEvery int `json:"lose_every"`
	// Retain is the number of latest records that each stream keeps; zero keeps all.
	Retain int `json:"retain"`
	// AppendsPerSecond is the rate above which appends are rejected with status
	// 429; zero sets no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// LogConfig configures a log.
type LogConfig struct {
	// Listen is the address to listen on.
	Listen string
	// Faults are the initial faults.
	Faults LogFaults
}

// Log is an in-memory stand-in of the platform's log. It serves any number of
// streams, each a sequence of records numbered by offset from 1 on.
type Log struct {
	cfg      LogConfig
	endpoint endpoint
	faults   *faultState[LogFaults]
	store    *streamStore
	limiter  *rate.Limiter
}

// NewLog returns a log that does not listen yet.
func NewLog(cfg LogConfig) *Log {
	return &Log{
		cfg:     cfg,
		faults:  newFaultState(cfg.Faults),
		store:   newStreamStore(),
		limiter: rate.NewLimiter(rate.Inf, 1),
	}
}

// Start listens and serves until Close. It returns the address in use.
func (l *Log) Start() (string, error) {
	router := mux.NewRouter()
	router.HandleFunc(PathFaults, l.faults.serveGet).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, l.servePatchFaults).Methods(http.MethodPatch)
	router.HandleFunc("/v1/streams/{stream}/records", l.serveAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/records", l.serveRead).Methods(http.MethodGet)
	l.applyFaults()
	return l.endpoint.start(l.cfg.Listen, router)
}

// Close stops the log. Its records are lost with it.
func (l *Log) Close() error {
	return l.endpoint.stop()
}

// SetFaults replaces all faults.
func (l *Log) SetFaults(faults LogFaults) {
	// The error is always nil: the function only assigns.
	_ = l.faults.update(func(f *LogFaults) error { *f = faults; return nil })
	l.applyFaults()
}

// applyFaults sets the rate limit and trims the streams as the faults say. It is
// called after each change of the faults.
func (l *Log) applyFaults() {
	faults := l.faults.current()
	limit, burst := rate.Inf, 1
	if faults.AppendsPerSecond > 0 {
		limit = rate.Limit(faults.AppendsPerSecond)
		burst = max(1, int(faults.AppendsPerSecond/10))
	}
	l.limiter.SetLimit(limit)
	l.limiter.SetBurst(burst)
	l.store.trim(faults.Retain)
}

func (l *Log) servePatchFaults(w http.ResponseWriter, r *http.Request) {
	l.faults.servePatch(w, r)
	l.applyFaults()
}

// admit delays a request, or aborts its connection, as the faults say. It
// returns false if the caller disconnected during the delay.
func (l *Log) admit(r *http.Request) bool {
	faults, changed := l.faults.get()
	if faults.Down == DownNo {
		return sleep(r, time.Duration(faults.DelayMS)*time.Millisecond)
	}
	if faults.Down == DownHang {
		l.waitWhileHanging(r, changed)
	}
	abortConnection()
	return false
}

// waitWhileHanging waits until the log's mode is no longer DownHang or the caller
// disconnects.
func (l *Log) waitWhileHanging(r *http.Request, changed <-chan struct{}) {
	for {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		var faults LogFaults
		faults, changed = l.faults.get()
		if faults.Down != DownHang {
			return
		}
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	// The body is read before the wait in admit, because net/http detects that the
	// client has disconnected only once the body has been read.
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.admit(r) {
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	faults := l.faults.current()
	offset, count := l.store.append(mux.Vars(r)["stream"], body, faults.Retain)
	if faults.LoseEvery > 0 && count%uint64(faults.LoseEvery) == 0 {
		abortConnection()
	}
	writeJSON(w, http.StatusCreated, logservice.AppendReply{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query, err := parseReadQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.admit(r) {
		return
	}
	reply, ok := l.readOrWait(r, query)
	if !ok {
		return
	}
	// The log may have gone down while the read waited.
	if l.faults.current().Down != DownNo && !l.admit(r) {
		return
	}
	if query.from < reply.First {
		writeJSON(w, http.StatusGone, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// readOrWait reads entries from query.from on. If there are none yet, it waits
// up to query.wait for one. It returns false if the caller has disconnected.
func (l *Log) readOrWait(r *http.Request, query readQuery) (logservice.ReadReply, bool) {
	timer := time.NewTimer(query.wait)
	defer timer.Stop()
	for {
		reply, changed := l.store.read(mux.Vars(r)["stream"], query.from, query.max)
		if len(reply.Entries) > 0 || query.from < reply.First {
			return reply, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, true
		case <-r.Context().Done():
			return reply, false
		}
	}
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	from logservice.Offset
	max  int
	wait time.Duration
}

func parseReadQuery(r *http.Request) (readQuery, error) {
	values := r.URL.Query()
	from, err := strconv.ParseUint(values.Get("from"), 10, 64)
	if err != nil {
		return readQuery{}, err
	}
	query := readQuery{from: logservice.Offset(from), max: maxReadEntries}
	if text := values.Get("max"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return readQuery{}, err
		}
		query.max = min(max(n, 1), maxReadEntries)
	}
	if text := values.Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return readQuery{}, err
		}
		query.wait = min(time.Duration(ms)*time.Millisecond, maxReadWait)
	}
	return query, nil
}

// sleep waits for d. It returns false if the client disconnects earlier.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
