package fleet

import "time"

// Avoid skips the server until the given time. It is chosen only if there is no other.
func (s *Server) Avoid(until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipUntil = max(s.skipUntil, until)
}
