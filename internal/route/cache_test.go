package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
)

// TestMoveToAClosedSessionIsForgotten covers a hint that names a session which
// has closed since: the table's owner counts again.
func TestMoveToAClosedSessionIsForgotten(t *testing.T) {
	cache := newRouteCache()
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	listed := Owner{Session: 7, Version: 18}
	cache.moved(key, listed.Version, 9)
	assert.DeepEqual(t, cache.owner(key, listed, &fakeDirectory{}), listed)
}
