package standin

import (
	"encoding/json"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// ServerFaults are the faults of a backend server; the zero value has none.
type ServerFaults struct {
	// SlowFactor multiplies the service time of a request; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ReportLoad replaces the load in load reports; nil reports the true load.
	ReportLoad *float64 `json:"report_load"`
	// ReportLagMS is the maximum age of a load report, in milliseconds. A newer
	// report is reused.
	ReportLagMS int `json:"report_lag_ms"`
	// DropEvery drops the response to every n-th request after its execution; zero
	// drops none.
	DropEvery int `json:"drop_every"`
	// HalfEvery truncates the response to every n-th request in the middle of its
	// body; zero truncates none.
	HalfEvery int `json:"half_every"`
	// LoseGrantsEvery drops the response to every n-th grant after it has been
	// processed; zero drops none.
	LoseGrantsEvery int `json:"lose_grants_every"`
}

// PathLastGrant is the control path of the last grant that a backend server
// applied (GET).
const PathLastGrant = "/_control/last-grant"

// GrantInfo describes the last grant that a backend server applied.
type GrantInfo struct {
	// From is the remote address of the connection on which the grant arrived.
	From string `json:"from"`
}

// LastGrant queries the backend server at addr for the last grant that it applied.
func LastGrant(client *http.Client, addr string) (GrantInfo, error) {
	resp, err := client.Get("http://" + addr + PathLastGrant)
	if err != nil {
		return GrantInfo{}, errors.Wrap(err, "standin: last grant")
	}
	defer resp.Body.Close()
	var info GrantInfo
	err = json.NewDecoder(resp.Body).Decode(&info)
	return info, errors.Wrap(err, "standin: last grant")
}

// ServerConfig configures a backend server.
type ServerConfig struct {
	// Listen is the address to listen on.
	Listen string
	// Service is the service's name in the server's record file.
	Service string
	// Slots is the number of requests that the server executes at a time; at least 1.
	Slots int
	// Queue is the number of requests that may wait for a slot. Requests above it
	// are rejected.
	Queue int
	// CheckEpochs makes the server reject keyed requests that its lease does not
	// cover.
	CheckEpochs bool
	// Work is the service time of a request on a warm server.
	Work time.Duration
	// ColdTime is the time from the server's start until it is warm.
	ColdTime time.Duration
	// ColdFactor multiplies the service time at the server's start. The factor
	// falls linearly to 1 over ColdTime.
	ColdFactor float64
	// RecordFile is the file to which executions are appended; if empty they are
	// not recorded.
	RecordFile string
	// Poison is called in the middle of a poison request, to crash the process;
	// nil executes a poison request like any other.
	Poison func()
	// Faults are the initial faults.
	Faults ServerFaults
}

// Server is a stand-in of a backend server. It executes requests by waiting for
// their service time, stores the value last written for each key, and follows
// the lease that hosts grant it.
type Server struct {
	cfg         ServerConfig
	endpoint    endpoint
	faults      *faultState[ServerFaults]
	lease       *lease
	slots       *slots
	records     *recorder
	values      valueStore
	answerCount counter
	grantCount  counter
	// lastGrantAddr is the remote address of the last grant that applied, a string.
	lastGrantAddr atomic.Value

	reportMu   sync.Mutex
	report     backend.LoadReport
	reportTime time.Time
}

// NewServer returns a backend server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	cfg.Slots = max(cfg.Slots, 1)
	return &Server{
		cfg:    cfg,
		faults: newFaultState(cfg.Faults),
		lease:  newLease(uuid.NewString()),
		slots:  newSlots(cfg.Slots, cfg.Queue),
	}
}

// Start listens and serves until Close. It returns the address in use.
func (s *Server) Start() (string, error) {
	records, err := openRecorder(s.cfg.RecordFile)
	if err != nil {
		return "", err
	}
	s.records = records
	router := mux.NewRouter()
	router.SkipClean(true)
	router.HandleFunc(PathFaults, s.faults.serveGet).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, s.faults.servePatch).Methods(http.MethodPatch)
	router.HandleFunc(PathLastGrant, s.serveLastGrant).Methods(http.MethodGet)
	router.HandleFunc(backend.PathGrant, s.serveGrant).Methods(http.MethodPost)
	router.HandleFunc(backend.PathLoad, s.serveLoad).Methods(http.MethodGet)
	router.HandleFunc(backend.PathDrain, s.serveDrain).Methods(http.MethodPost, http.MethodDelete)
	router.PathPrefix("/").HandlerFunc(s.serveRequest)
	addr, err := s.endpoint.start(s.cfg.Listen, router)
	if err != nil {
		records.close()
	}
	return addr, err
}

// Close stops the server at once, as a crash of its process would: executing
// requests have no effect.
func (s *Server) Close() error {
	s.lease.abortAll()
	err := s.endpoint.stop()
	if s.records != nil {
		s.records.close()
	}
	return err
}

// Incarnation returns the ID of the server's incarnation.
func (s *Server) Incarnation() string {
	return s.lease.incarnation
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults ServerFaults) {
	// The error is always nil: the function only assigns.
	_ = s.faults.update(func(f *ServerFaults) error { *f = faults; return nil })
}

// SetDraining sets whether the server reports that it is draining.
func (s *Server) SetDraining(draining bool) {
	s.lease.setDraining(draining)
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	var req backend.GrantRequest
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	applied := s.lease.grant(req)
	if applied && !s.waitDrops(r, req.Drop) {
		return
	}
	if applied {
		s.lastGrantAddr.Store(r.RemoteAddr)
	}
	if s.grantCount.isNth(s.faults.current().LoseGrantsEvery) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, s.lease.grantReply(applied))
}

// waitDrops waits until all executions for the dropped slices have ended. It
// returns false if the sender of the grant disconnects.
func (s *Server) waitDrops(r *http.Request, drops []backend.SliceGrant) bool {
	for {
		done, changed := s.lease.dropsComplete(drops)
		if done {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Server) serveLastGrant(w http.ResponseWriter, _ *http.Request) {
	from, _ := s.lastGrantAddr.Load().(string)
	writeJSON(w, http.StatusOK, GrantInfo{From: from})
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	s.lease.setDraining(r.Method == http.MethodPost)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.loadReport(time.Now()))
}

// loadReport returns the last report, or a new one if the last has reached the
// age ReportLagMS.
func (s *Server) loadReport(now time.Time) backend.LoadReport {
	faults := s.faults.current()
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	age := now.Sub(s.reportTime)
	if age >= time.Duration(faults.ReportLagMS)*time.Millisecond {
		s.report = s.newReport(faults, now)
		s.reportTime = now
		age = 0
	}
	report := s.report
	report.AgeMS = age.Milliseconds()
	return report
}

func (s *Server) newReport(faults ServerFaults, now time.Time) backend.LoadReport {
	executing, queued := s.slots.counts()
	load := float64(executing+queued) / float64(s.cfg.Slots)
	if faults.ReportLoad != nil {
		load = *faults.ReportLoad
	}
	return backend.LoadReport{
		Incarnation: s.lease.incarnation,
		InFlight:    executing,
		Queued:      queued,
		Slots:       s.cfg.Slots,
		Load:        load,
		Warm:        s.warmUpProgress(now),
		Draining:    s.lease.grantReply(true).Draining,
	}
}

// warmUpProgress returns the elapsed share of ColdTime, from 0 (cold) to 1 (warm).
func (s *Server) warmUpProgress(now time.Time) float64 {
	if s.cfg.ColdTime <= 0 {
		return 1
	}
	return math.Min(1, float64(s.lease.clock(now))/float64(s.cfg.ColdTime))
}

// workTime returns the service time of a request that starts at now.
func (s *Server) workTime(now time.Time) time.Duration {
	factor := 1.0
	if s.cfg.ColdFactor > 1 {
		factor += (s.cfg.ColdFactor - 1) * (1 - s.warmUpProgress(now))
	}
	if slow := s.faults.current().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(s.cfg.Work) * factor)
}
