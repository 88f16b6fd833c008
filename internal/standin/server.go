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

// ServerFaults are the faults of a backend server.
type ServerFaults struct {
	// SlowFactor multiplies the time that a request takes; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ReportLoad replaces the load in reports; null reports the true load.
	ReportLoad *float64 `json:"report_load"`
	// ReportLagMS is the greatest age of a load report, in milliseconds.
	ReportLagMS int `json:"report_lag_ms"`
	// DropEvery drops the answer of every n-th request after its execution; zero drops none.
	DropEvery int `json:"drop_every"`
	// HalfEvery cuts the answer of every n-th request in the middle of its body; zero cuts none.
	HalfEvery int `json:"half_every"`
	// LoseGrantsEvery drops the answer of every n-th grant after it took effect; zero drops none.
	LoseGrantsEvery int `json:"lose_grants_every"`
}

// PathLastGrant is the control path by which a backend server's last grant is read.
const PathLastGrant = "/_control/last-grant"

// GrantInfo describes the last grant that a backend server applied.
type GrantInfo struct {
	// From is the address from which the grant's connection was opened.
	From string `json:"from"`
}

// LastGrant returns the last grant that the backend server at addr applied.
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
	// Service is the name of the service in the server's records.
	Service string
	// Slots is the number of requests that the server executes at a time.
	Slots int
	// Queue is the number of requests that wait for a slot before the server sheds load.
	Queue int
	// CheckEpochs refuses keyed requests that the lease does not cover.
	CheckEpochs bool
	// Work is the time that a request takes on a warm server.
	Work time.Duration
	// ColdTime is the time from the start until the server is warm.
	ColdTime time.Duration
	// ColdFactor multiplies the time that a request takes at the start. It falls to 1 over ColdTime.
	ColdFactor float64
	// RecordFile is the file to which executions are appended; empty for none.
	RecordFile string
	// Poison is called in the middle of a request that names poison; nil ignores poison.
	Poison func()
	// Faults are the faults in force at the start.
	Faults ServerFaults
}

// Server is a stand-in of a backend server.
type Server struct {
	cfg      ServerConfig
	endpoint endpoint
	faults   *faultBox[ServerFaults]
	lease    *lease
	slots    *slots
	records  *recorder
	values   valueStore
	answers  counter
	grants   counter
	// grantFrom is the remote address of the last grant that applied.
	grantFrom atomic.Value

	reportMu   sync.Mutex
	report     backend.LoadReport
	reportTime time.Time
}

// NewServer returns a backend server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	cfg.Slots = max(cfg.Slots, 1)
	return &Server{
		cfg:    cfg,
		faults: newFaultBox(cfg.Faults),
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

// Close ends the server at once, as the loss of its process would: what it
// executes has no effect.
func (s *Server) Close() error {
	s.lease.stop()
	err := s.endpoint.stop()
	if s.records != nil {
		s.records.close()
	}
	return err
}

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() string {
	return s.lease.incarnation
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults ServerFaults) {
	// The change cannot fail, because it only assigns.
	_ = s.faults.update(func(f *ServerFaults) error { *f = faults; return nil })
}

// SetDraining sets whether the server says that it is draining.
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
		s.grantFrom.Store(r.RemoteAddr)
	}
	if s.grants.due(s.faults.current().LoseGrantsEvery) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, s.lease.state(applied))
}

// waitDrops waits until nothing runs for the dropped slices. It reports false
// when the sender of the grant has gone.
func (s *Server) waitDrops(r *http.Request, drops []backend.SliceGrant) bool {
	for {
		done, changed := s.lease.dropsDone(drops)
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
	from, _ := s.grantFrom.Load().(string)
	writeJSON(w, http.StatusOK, GrantInfo{From: from})
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	s.lease.setDraining(r.Method == http.MethodPost)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.loadReport(time.Now()))
}

// loadReport returns the last report, or a new one where that is older than the lag.
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
		Warm:        s.warm(now),
		Draining:    s.lease.state(true).Draining,
	}
}

// warm returns how far the cold start has gone, from 0 to 1.
func (s *Server) warm(now time.Time) float64 {
	if s.cfg.ColdTime <= 0 {
		return 1
	}
	return math.Min(1, float64(s.lease.clock(now))/float64(s.cfg.ColdTime))
}

// workTime returns the time that a request takes now.
func (s *Server) workTime(now time.Time) time.Duration {
	factor := 1.0
	if s.cfg.ColdFactor > 1 {
		factor += (s.cfg.ColdFactor - 1) * (1 - s.warm(now))
	}
	if slow := s.faults.current().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(s.cfg.Work) * factor)
}
