// Package standin holds small stand-ins for what surrounds the system: the
// platform's log and host list, a backend server, and the network between
// processes. Tests, scenarios and the dev command run them in one process or
// as processes of their own. Faults are set by HTTP requests to paths below
// /_control/.
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
	// PathFaults is the control path by which a stand-in's faults are read
	// (GET) and changed (PATCH: fields that the body leaves out stay as they are).
	PathFaults = "/_control/faults"
	// maxBodyBytes bounds the body of a request to a stand-in.
	maxBodyBytes = 16 << 20
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
)

// endpoint serves one handler on one TCP address.
type endpoint struct {
	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// start listens on addr and serves handler until stop. It returns the address in use.
func (e *endpoint) start(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "standin: listen")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		listener.Close()
		return "", errors.New("standin: started twice")
	}
	e.listener = listener
	e.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	e.done = make(chan struct{})
	go e.serve()
	return listener.Addr().String(), nil
}

func (e *endpoint) serve() {
	defer close(e.done)
	// Serve ends with an error in every case; the one of a closed server means nothing.
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
	// The client may have gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// readBody returns the request's body, bounded.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// abortConnection ends the request's connection without an answer.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// faultBox holds a set of faults that requests read and operators of a test change.
type faultBox[T any] struct {
	mu      sync.Mutex
	faults  T
	changed chan struct{}
}

func newFaultBox[T any](faults T) *faultBox[T] {
	return &faultBox[T]{faults: faults, changed: make(chan struct{})}
}

// get returns the faults in force and a channel that closes when they change.
func (b *faultBox[T]) get() (T, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}

// current returns the faults in force.
func (b *faultBox[T]) current() T {
	faults, _ := b.get()
	return faults
}

// update changes the faults in force.
func (b *faultBox[T]) update(change func(*T) error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.faults
	if err := change(&next); err != nil {
		return err
	}
	b.faults = next
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

// serveGet answers with the faults in force.
func (b *faultBox[T]) serveGet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.current())
}

// servePatch changes the faults that the request's body names.
func (b *faultBox[T]) servePatch(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err == nil {
		err = b.update(func(faults *T) error { return json.Unmarshal(body, faults) })
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
