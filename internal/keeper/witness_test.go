package keeper

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// slowWitness is a witness that stores entries after a delay, and whose first calls fail.
type slowWitness struct {
	delay time.Duration

	mu sync.Mutex
	// failures is the number of calls that are still to fail.
	failures int
	stored   map[idempotency.ID]bool
}

// Witness implements the RPC Peer.Witness.
func (w *slowWitness) Witness(args peer.WitnessArgs, _ *peer.Empty) error {
	time.Sleep(w.delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failures > 0 {
		w.failures--
		return errors.New("witness: simulated failure")
	}
	for _, entry := range args.Entries {
		w.stored[entry.ID] = true
	}
	return nil
}

func (w *slowWitness) has(id idempotency.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stored[id]
}

// claimWith claims a request at a primary that uses the witness, and returns the request's ID.
func claimWith(t *testing.T, witness *slowWitness) idempotency.ID {
	t.Helper()
	calls := rpc.NewServer()
	assert.NilError(t, calls.RegisterName("Peer", witness))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { peer.ServeRPC(t.Context(), calls, w) }))
	k := newPrimary(t, settings.Defaults())
	k.deps.Peers = peer.NewPool((&net.Dialer{}).DialContext)
	k.deps.Witness = func(string, string, []string) string { return listener.Addr().String() }
	go k.witnessLoop(t.Context())
	id := idempotency.ID{Service: "revize", Key: "k1", Request: "s1"}
	decision, copied := k.Claim(context.Background(), id, idempotency.Digest{})
	assert.Equal(t, decision.Kind, idempotency.KindNew)
	assert.Assert(t, copied)
	return id
}

// TestWitnessStoresTheClaimBeforeTheRequestRuns guards against a repeated request that
// runs again because all lessors are lost right after the answer.
func TestWitnessStoresTheClaimBeforeTheRequestRuns(t *testing.T) {
	witness := &slowWitness{delay: 30 * time.Millisecond, stored: make(map[idempotency.ID]bool)}
	assert.Assert(t, witness.has(claimWith(t, witness)))
}

func TestCopyToTheWitnessIsRetried(t *testing.T) {
	witness := &slowWitness{failures: 2, stored: make(map[idempotency.ID]bool)}
	assert.Assert(t, witness.has(claimWith(t, witness)))
}

func TestClaimSucceedsWithoutAWitness(t *testing.T) {
	witness := &slowWitness{failures: witnessAttempts, stored: make(map[idempotency.ID]bool)}
	assert.Assert(t, !witness.has(claimWith(t, witness)))
}
