package renew

// Counts counts what has become of a host's connections for grants.
type Counts struct {
	// Opened and Ended count connections.
	Opened int64 `json:"opened"`
	Ended  int64 `json:"ended"`
	// Linked counts connections that carried a grant although they are newer than the plan that issued it, since answers to
	// callers' requests showed that they lead to the same incarnation of the server.
	Linked int64 `json:"linked"`
	// Lost counts grants that could not be renewed any more, since the connection was newer.
	Lost int64 `json:"lost"`
}

// Counts returns the present counts.
func (r *Renewer) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
