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

// slowWitness takes entries after a while, and fails the first calls.
type slowWitness struct {
	delay time.Duration

	mu       sync.Mutex
	failures int
	kept     map[idempotency.ID]bool
}

// Witness is the call of the same name.
func (w *slowWitness) Witness(args peer.WitnessArgs, _ *peer.Empty) error {
	time.Sleep(w.delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failures > 0 {
		w.failures--
		return errors.New("not now")
	}
	for _, entry := range args.Entries {
		w.kept[entry.ID] = true
	}
	return nil
}

func (w *slowWitness) has(id idempotency.ID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kept[id]
}

// claimWith claims a request at a leader with the witness and runs its duty meanwhile.
func claimWith(t *testing.T, witness *slowWitness) idempotency.ID {
	t.Helper()
	calls := rpc.NewServer()
	assert.NilError(t, calls.RegisterName("Peer", witness))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { peer.ServeRPC(t.Context(), calls, w) }))
	k := newLeader(t, settings.Defaults())
	k.deps.Peers = peer.NewPool((&net.Dialer{}).DialContext)
	k.deps.Witness = func(string, string, []string) string { return listener.Addr().String() }
	go k.witnessDuty(t.Context())
	id := idempotency.ID{Service: "revize", Key: "k1", Request: "s1"}
	verdict, copied := k.Claim(context.Background(), id, idempotency.Digest{})
	assert.Equal(t, verdict.Kind, idempotency.KindNew)
	assert.Assert(t, copied)
	return id
}

// TestClaimIsAtTheWitnessBeforeTheRequestRuns states what keeps a repeat from running again when all
// lessors are lost right after an answer.
func TestClaimIsAtTheWitnessBeforeTheRequestRuns(t *testing.T) {
	witness := &slowWitness{delay: 30 * time.Millisecond, kept: make(map[idempotency.ID]bool)}
	assert.Assert(t, witness.has(claimWith(t, witness)))
}

func TestWitnessIsAskedAgain(t *testing.T) {
	witness := &slowWitness{failures: 2, kept: make(map[idempotency.ID]bool)}
	assert.Assert(t, witness.has(claimWith(t, witness)))
}

func TestClaimDoesNotFailForTheWantOfAWitness(t *testing.T) {
	witness := &slowWitness{failures: witnessTries, kept: make(map[idempotency.ID]bool)}
	assert.Assert(t, !witness.has(claimWith(t, witness)))
}
