package leader

import (
	"fmt"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// trouble makes one fault.
func (w *world) trouble() {
	w.mu.Lock()
	defer w.mu.Unlock()
	host := w.hosts[w.rng.IntN(len(w.hosts))]
	server := w.servers[w.rng.IntN(len(w.servers))]
	length := time.Duration(1+w.rng.IntN(8)) * time.Second
	until := w.now() + length
	kind := w.rng.IntN(8)
	w.faults = append(w.faults, fmt.Sprintf("%v kind %d host %s server %s for %v", w.now(), kind, host.self.Name, server.ID, length))
	switch kind {
	case 0:
		w.cuts[[2]string{host.self.Name, server.ID}] = until
	case 1:
		w.cuts[[2]string{host.self.Name, "store"}] = until
	case 2:
		for _, other := range w.hosts {
			if other != host {
				w.cuts[[2]string{host.self.Name, other.self.Name}] = until
			}
		}
	case 3:
		if host.stop != nil {
			host.stop()
			host.stop = nil
			time.AfterFunc(length/4, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				next := host.self
				next.Incarnation += "'"
				w.start(host.index, next)
			})
		}
	case 4:
		w.crash(server, max(length, 2*time.Second))
	case 5:
		server.draining = true
		time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			server.draining = false
		})
	case 7:
		w.cutOff(host, server, until)
	case 6:
		for _, h := range w.hosts {
			w.cuts[[2]string{h.self.Name, "store"}] = until
		}
	}
}

// cutOff leaves a host and a server only each other. The server's entry lapses.
func (w *world) cutOff(host *modelHost, server *modelServer, until time.Duration) {
	w.cuts[[2]string{host.self.Name, "store"}] = until
	for _, other := range w.hosts {
		if other != host {
			w.cuts[[2]string{host.self.Name, other.self.Name}] = until
			w.cuts[[2]string{other.self.Name, server.ID}] = until
		}
	}
	if !server.up {
		return
	}
	server.listed = false
	time.AfterFunc(until-w.now(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		server.listed = server.up
	})
}

// crash ends a life of a server. It comes back after a while and knows nothing.
func (w *world) crash(s *modelServer, length time.Duration) {
	if !s.up {
		return
	}
	s.up = false
	born := s.Born
	time.AfterFunc(2600*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !s.up && s.Born == born {
			s.listed = false
		}
	})
	time.AfterFunc(length, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.up = true
		s.Born++
		s.listed = true
		s.seen = [modelServers]assign.Fence{}
		s.held = [modelServers]time.Duration{}
	})
}
