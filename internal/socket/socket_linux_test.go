package socket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/poplarcroft/poplarcroft/internal/conntest"
)

// awaitState waits until a condition holds.
func awaitState(t *testing.T, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(time.Millisecond))
}

func TestStateOfAConnection(t *testing.T) {
	local, remote := conntest.Pair(t)
	assert.Assert(t, !HasUnread(local) && !ClosedByPeer(local))
	_, err := remote.Write([]byte("x"))
	assert.NilError(t, err)
	awaitState(t, func() bool { return HasUnread(local) })
	assert.Assert(t, !ClosedByPeer(local))
	remote.Close()
	_, err = local.Read(make([]byte, 1))
	assert.NilError(t, err)
	awaitState(t, func() bool { return ClosedByPeer(local) })
	assert.Assert(t, !HasUnread(local))
}

func TestConnectionThatWasReset(t *testing.T) {
	local, remote := conntest.Pair(t)
	assert.NilError(t, remote.SetLinger(0))
	remote.Close()
	awaitState(t, func() bool { return ClosedByPeer(local) })
}

func TestConnectionThatThisProcessHasClosed(t *testing.T) {
	local, _ := conntest.Pair(t)
	local.Close()
	assert.Assert(t, !HasUnread(local) && !ClosedByPeer(local))
}
