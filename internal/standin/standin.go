// Package standin provides stand-ins (fake servers for tests and experiments)
// of what the hosts depend on: the platform's log (Log) and host list
// (HostList), a backend server (Server) and the network between processes
// (Egress, a proxy for a host's outgoing connections).
//
// Tests and the dev command run them within their own process; the scenarios
// and "poplarctl standin" run them as separate processes. Each stand-in can be
// made to fail while it runs: its faults or rules are set by a method, or by an
// HTTP request to a path below /_control/. A backend server also appends every
// execution to a record file, which package check reads to verify that the
// system kept its guarantees.
package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// PathFaults is the control path of a stand-in's faults: GET reads them,
	// PATCH changes the fields that the JSON body contains.
	PathFaults = "/_control/faults"
	// maxBodyBytes limits the body of a request to a stand-in.
	maxBodyBytes = 16 << 20
	// readHeaderTimeout limits the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
)

// endpoint is an HTTP server on one TCP address.
type endpoint struct {
	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// start listens on addr and serves handler until stop. It returns the address
// that it listens on, with the port that the system chose if addr has port 0.
func (e *endpoint) start(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "standin: listen")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		listener.Close()
		return "", errors.New("standin: already started")
	}
	e.listener = listener
	e.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	e.done = make(chan struct{})
	go e.serve()
	return listener.Addr().String(), nil
}

func (e *endpoint) serve() {
	defer close(e.done)
	// Serve always returns an error: ErrServerClosed after stop.
	_ = e.server.Serve(e.listener)
}

// stop closes the listener and all connections.
func (e *endpoint) stop() error {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	err := server.Close()
	<-e.done
	return errors.Wrap(err, "standin: close")
}

// writeJSON answers with status and value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// readBody returns the request's body, or an error if it exceeds maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// abortConnection closes the request's connection without a response. It
// panics, so the calling handler does not continue.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// faultState holds the faults of a stand-in. Handlers read them; tests and the
// control path change them. It is safe for concurrent use.
type faultState[T any] struct {
	mu      sync.Mutex
	faults  T
	changed chan struct{}
}

func newFaultState[T any](faults T) *faultState[T] {
	return &faultState[T]{faults: faults, changed: make(chan struct{})}
}

// get returns the current faults and a channel that closes at their next change.
func (f *faultState[T]) get() (T, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults, f.changed
}

// current returns the current faults.
func (f *faultState[T]) current() T {
	faults, _ := f.get()
	return faults
}

// update applies change to the faults and wakes those that wait for a change. An
// error of change leaves the faults as they were.
func (f *faultState[T]) update(change func(*T) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.faults
	if err := change(&next); err != nil {
		return err
	}
	f.faults = next
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// serveGet responds with the current faults as JSON.
func (f *faultState[T]) serveGet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, f.current())
}

// servePatch changes the faults that the request's JSON body contains.
func (f *faultState[T]) servePatch(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err == nil {
		err = f.update(func(faults *T) error { return json.Unmarshal(body, faults) })
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
