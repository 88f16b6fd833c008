package route

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
)

// TestCachedMoveToClosedSessionIsDropped guards against a stale cache entry: a slice
// moved to a session that has closed since, so the owner in the ownership table counts
// again.
func TestCachedMoveToClosedSessionIsDropped(t *testing.T) {
	cache := newRouteCache()
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	listed := Owner{Session: 7, Version: 18}
	cache.recordMove(key, listed.Version, 9)
	assert.DeepEqual(t, cache.owner(key, listed, &fakeDirectory{}), listed)
}
