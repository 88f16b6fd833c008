package leader

import (
	"context"
	"sync"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// acknowledgements holds the newest plan that each host, one incarnation, has acknowledged to this leader. A host that
// has acknowledged a plan renews by no older one, so many ranges that are released at once need one call to it, not one
// each. It is safe for concurrent use.
type acknowledgements struct {
	mu     sync.Mutex
	byHost map[hostID]*acknowledgement
}

// acknowledgement is the state of one incarnation of a host.
type acknowledgement struct {
	// calling holds a value while a call to the host is in flight. It guards version.
	calling chan struct{}
	version assign.Fence
}

// await reports whether the host has acknowledged the version or a newer one. If it has not, await calls it, one call at a
// time, with adopt, which returns the version that the host has acknowledged.
func (a *acknowledgements) await(ctx context.Context, host assign.Host, version assign.Fence, adopt func() (assign.Fence, error)) bool {
	known := a.of(host)
	select {
	case known.calling <- struct{}{}:
		defer func() { <-known.calling }()
	case <-ctx.Done():
		return false
	}
	if known.version >= version {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	adopted, err := adopt()
	if err != nil {
		return false
	}
	known.version = max(known.version, adopted)
	return known.version >= version
}

// of returns the state of an incarnation.
func (a *acknowledgements) of(host assign.Host) *acknowledgement {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byHost == nil {
		a.byHost = make(map[hostID]*acknowledgement)
	}
	id := idOf(host)
	if a.byHost[id] == nil {
		a.byHost[id] = &acknowledgement{calling: make(chan struct{}, 1)}
	}
	return a.byHost[id]
}

// reset forgets all acknowledgements, when a term begins.
func (a *acknowledgements) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byHost = nil
}
