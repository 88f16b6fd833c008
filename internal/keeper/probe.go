package keeper

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// ProbeTimeout bounds another lessor's try to reach the server.
	ProbeTimeout = 100 * time.Millisecond
	// asideTime is how long a lessor that could not reach the server leaves the lead to others.
	asideTime = 10 * time.Second
)

// Probe reports whether this host reaches the server under the session's incarnation.
func (k *Keeper) Probe(ctx context.Context) bool {
	reply, err := k.deps.Servers.Grant(ctx, k.addr, backend.GrantRequest{})
	return err == nil && !reply.Over(uint64(k.id), k.incarnation)
}

// reachedByOthers asks the other lessors whether one of them reaches the server.
func (k *Keeper) reachedByOthers(ctx context.Context) bool {
	others := k.Others()
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

// stepAside gives the lead to a lessor that reaches the server. Requests that
// wait for the server's answer here are not waited for.
func (k *Keeper) stepAside(ctx context.Context) {
	k.mu.Lock()
	k.asideUntil = k.deps.Clock() + asideTime
	k.mu.Unlock()
	k.giveBack(ctx)
}
