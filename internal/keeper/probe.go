package keeper

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// ProbeTimeout bounds another lessor's attempt to reach the server.
	ProbeTimeout = 100 * time.Millisecond
	// electionBackoff is how long a lessor that could not reach the server lets
	// other lessors become primary first.
	electionBackoff = 10 * time.Second
)

// Probe reports whether this host reaches the server under the session's incarnation.
func (k *Keeper) Probe(ctx context.Context) bool {
	reply, err := k.deps.Servers.Grant(ctx, k.addr, backend.GrantRequest{})
	return err == nil && !reply.SessionEnded(uint64(k.id), k.incarnation)
}

// reachedByOthers reports whether another lessor reaches the server. It asks all of
// them concurrently and returns at the first that does.
func (k *Keeper) reachedByOthers(ctx context.Context) bool {
	others := k.OtherLessors()
	answers := make(chan bool, len(others))
	for _, other := range others {
		go func() { answers <- k.reachedBy(ctx, other) }()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}

func (k *Keeper) reachedBy(ctx context.Context, other record.Lessor) bool {
	var reply peer.ProbeReply
	args := peer.SessionArgs{Session: k.id}
	err := k.deps.Peers.CallTimeout(ctx, ProbeTimeout+k.values.RenewEvery, other.PeerAddr, "Peer.Probe", args, &reply)
	return err == nil && reply.Reached
}

// handOverPrimary steps down in favour of a lessor that reaches the server. It does
// not wait for requests being served, because the server does not answer this host.
func (k *Keeper) handOverPrimary(ctx context.Context) {
	k.mu.Lock()
	k.backoffUntil = k.deps.Clock() + electionBackoff
	k.mu.Unlock()
	k.stepDownNow(ctx)
}
