package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// HostListFaults are the faults of a host list; the zero value has none.
type HostListFaults struct {
	// LagMS is the delay until a change becomes visible, in milliseconds.
	LagMS int `json:"lag_ms"`
	// Frozen hides the changes that are not visible yet, and all later ones,
	// until it is reset.
	Frozen bool `json:"frozen"`
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
}

// HostListConfig configures a host list.
type HostListConfig struct {
	// Listen is the address to listen on.
	Listen string
	// Faults are the initial faults.
	Faults HostListFaults
}

// HostList is an in-memory stand-in of the platform's host list. Like the
// platform's list it has no failure detection: a host's entry stays, even after
// the host has crashed, until a DELETE request removes it.
type HostList struct {
	cfg      HostListConfig
	endpoint endpoint
	faults   *faultState[HostListFaults]

	mu      sync.Mutex
	visible map[string]logservice.HostEntry
	pending []hostChange
}

// hostChange is a change of the list that is not visible yet. A nil entry removes
// the host.
type hostChange struct {
	at    time.Time
	name  string
	entry *logservice.HostEntry
}

// NewHostList returns a host list that does not listen yet.
func NewHostList(cfg HostListConfig) *HostList {
	return &HostList{
		cfg:     cfg,
		faults:  newFaultState(cfg.Faults),
		visible: make(map[string]logservice.HostEntry),
	}
}

// Start listens and serves until Close. It returns the address in use.
func (h *HostList) Start() (string, error) {
	router := mux.NewRouter()
	router.HandleFunc(PathFaults, h.faults.serveGet).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, h.faults.servePatch).Methods(http.MethodPatch)
	router.HandleFunc("/v1/hosts", h.serveList).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts/{name}", h.servePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/hosts/{name}", h.serveDelete).Methods(http.MethodDelete)
	return h.endpoint.start(h.cfg.Listen, router)
}

// Close stops the host list.
func (h *HostList) Close() error {
	return h.endpoint.stop()
}

// SetFaults replaces all faults.
func (h *HostList) SetFaults(faults HostListFaults) {
	// The error is always nil: the function only assigns.
	_ = h.faults.update(func(f *HostListFaults) error { *f = faults; return nil })
}

func (h *HostList) serveList(w http.ResponseWriter, _ *http.Request) {
	faults := h.faults.current()
	if faults.Down {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, h.list(faults, time.Now()))
}

func (h *HostList) servePut(w http.ResponseWriter, r *http.Request) {
	if h.faults.current().Down {
		abortConnection()
	}
	body, err := readBody(w, r)
	var entry logservice.HostEntry
	if err == nil {
		err = json.Unmarshal(body, &entry)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry.Name = mux.Vars(r)["name"]
	h.change(entry.Name, &entry)
	w.WriteHeader(http.StatusNoContent)
}

func (h *HostList) serveDelete(w http.ResponseWriter, r *http.Request) {
	if h.faults.current().Down {
		abortConnection()
	}
	h.change(mux.Vars(r)["name"], nil)
	w.WriteHeader(http.StatusNoContent)
}

func (h *HostList) change(name string, entry *logservice.HostEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, hostChange{at: time.Now(), name: name, entry: entry})
}

// list makes those changes visible that are older than the lag, and returns the
// visible entries ordered by name.
func (h *HostList) list(faults HostListFaults, now time.Time) logservice.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !faults.Frozen {
		h.applyBefore(now.Add(-time.Duration(faults.LagMS) * time.Millisecond))
	}
	list := logservice.HostList{Hosts: []logservice.HostEntry{}}
	for _, entry := range h.visible {
		list.Hosts = append(list.Hosts, entry)
	}
	sort.Slice(list.Hosts, func(i, j int) bool { return list.Hosts[i].Name < list.Hosts[j].Name })
	return list
}

// applyBefore applies the pending changes made at limit or before. h.mu must be
// held.
func (h *HostList) applyBefore(limit time.Time) {
	for len(h.pending) > 0 && !h.pending[0].at.After(limit) {
		change := h.pending[0]
		h.pending = h.pending[1:]
		if change.entry == nil {
			delete(h.visible, change.name)
			continue
		}
		h.visible[change.name] = *change.entry
	}
}
