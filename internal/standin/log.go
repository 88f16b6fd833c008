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
	// maxReadEntries bounds the entries of one reply of the log.
	maxReadEntries = 5000
	// maxReadWait bounds the wait of one read of the log.
	maxReadWait = 30 * time.Second
)

// DownMode is how a log that is down treats requests.
type DownMode string

// Modes of a log that is down.
const (
	// DownNo means that the log is up.
	DownNo DownMode = ""
	// DownRefuse closes the connection of every request.
	DownRefuse DownMode = "refuse"
	// DownHang leaves every request without an answer and without effect until
	// the log is up again, and then closes its connection.
	DownHang DownMode = "hang"
)

// LogFaults are the faults of a log.
type LogFaults struct {
	Down DownMode `json:"down"`
	// DelayMS delays every answer, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseEvery drops the answer of every n-th append after it took effect; zero drops none.
	LoseEvery int `json:"lose_every"`
	// Retain is the number of records that each stream keeps; zero keeps all.
	Retain int `json:"retain"`
	// AppendsPerSecond is the rate above which appends are refused; zero sets no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// LogConfig configures a log.
type LogConfig struct {
	// Listen is the address to listen on.
	Listen string
	// Faults are the faults in force at the start.
	Faults LogFaults
}

// Log is an in-memory stand-in of the platform's log.
type Log struct {
	cfg      LogConfig
	endpoint endpoint
	faults   *faultBox[LogFaults]
	store    *streamStore
	limiter  *rate.Limiter
}

// NewLog returns a log that does not listen yet.
func NewLog(cfg LogConfig) *Log {
	return &Log{
		cfg:     cfg,
		faults:  newFaultBox(cfg.Faults),
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

// Close stops the log and forgets its records.
func (l *Log) Close() error {
	return l.endpoint.stop()
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(faults LogFaults) {
	// The change cannot fail, because it only assigns.
	_ = l.faults.update(func(f *LogFaults) error { *f = faults; return nil })
	l.applyFaults()
}

// applyFaults brings the rate limit and the streams in line with the faults.
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

// admit holds a request back as the faults demand. It reports whether the
// request goes on; where it does not, the caller has gone.
func (l *Log) admit(r *http.Request) bool {
	faults, changed := l.faults.get()
	if faults.Down == DownNo {
		return sleep(r, time.Duration(faults.DelayMS)*time.Millisecond)
	}
	if faults.Down == DownHang {
		l.waitUp(r, changed)
	}
	abortConnection()
	return false
}

// waitUp waits until the log no longer hangs or the caller has gone.
func (l *Log) waitUp(r *http.Request, changed <-chan struct{}) {
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
	// The body is read first: the server notices a closed connection only then.
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.admit(r) {
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "too many appends a second", http.StatusTooManyRequests)
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
	reply, ok := l.waitRead(r, query)
	if !ok {
		return
	}
	// The log may have gone down during the wait.
	if l.faults.current().Down != DownNo && !l.admit(r) {
		return
	}
	if query.from < reply.First {
		writeJSON(w, http.StatusGone, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// waitRead reads, and waits for an entry where there is none. It reports false
// when the reader has gone.
func (l *Log) waitRead(r *http.Request, query readQuery) (logservice.ReadReply, bool) {
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

// readQuery is the query of a read.
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

// sleep waits for d and reports false when the request's client has gone before.
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
