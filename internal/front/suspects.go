package front

import (
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/poison"
)

const (
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
	// crashesToCondemn is the number of lost tries after which a request is refused for good.
	crashesToCondemn = 3
)

// suspects remembers requests whose servers ended while they ran them. It is safe for concurrent use.
type suspects struct {
	mu      sync.Mutex
	crashes map[poison.Fingerprint]int
}

func fingerprint(r *Request) poison.Fingerprint {
	return poison.FingerprintOf(poison.Request{Service: r.Route.Name, Method: r.Method, Path: r.Path, Body: r.Body})
}

// condemned reports whether servers have ended often enough while they ran the request.
func (s *suspects) condemned(r *Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return false
	}
	return s.crashes[fingerprint(r)] >= crashesToCondemn
}
