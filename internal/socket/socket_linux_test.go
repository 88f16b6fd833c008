package socket

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		dialled.Close()
		accepted.Close()
	})
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

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
	local, remote := connect(t)
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
	local, remote := connect(t)
	assert.NilError(t, remote.SetLinger(0))
	remote.Close()
	awaitState(t, func() bool { return ClosedByPeer(local) })
}

func TestConnectionThatThisProcessHasClosed(t *testing.T) {
	local, _ := connect(t)
	local.Close()
	assert.Assert(t, !HasUnread(local) && !ClosedByPeer(local))
}
