package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// targetWithSilentConnections returns a target with the given number of idle connections, which deliver no further
// answer. New connections deliver one answer each.
func targetWithSilentConnections(t *testing.T, count int) (*Target, *fakeServer) {
	t.Helper()
	server := newFakeServer(delayed(time.Millisecond, answerWith(completeAnswer)), neverAnswer)
	target := server.target(t, Options{})
	var group sync.WaitGroup
	for range count {
		group.Go(func() { send(t, target, get) })
	}
	group.Wait()
	synctest.Wait()
	assert.Equal(t, target.Connections(), count)
	time.Sleep(200 * time.Millisecond)
	return target, server
}

// TestCallersThatLeaveUncoverSilentConnections checks that a request whose caller leaves before an answer comes
// does not leave the other connections that went silent with its own to the next requests.
func TestCallersThatLeaveUncoverSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, _ := targetWithSilentConnections(t, 4)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, leave)
		result := target.Send(ctx, get)
		assert.Equal(t, result.Sent, MaybeSent)
		sent, _, err := send(t, target, get)
		assert.Equal(t, sent, Answered, "%v", err)
		target.Close()
	})
}

// TestSilentConnectionsAreClosedWhileOneWaits checks that one request that waits on a silent connection suffices to
// keep later requests off the others, before it ends itself.
func TestSilentConnectionsAreClosedWhileOneWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, _ := targetWithSilentConnections(t, 4)
		var group sync.WaitGroup
		group.Go(func() {
			sent, _, _ := send(t, target, get)
			assert.Check(t, sent == MaybeSent)
		})
		time.Sleep(400 * time.Millisecond)
		sent, _, err := send(t, target, get)
		assert.Equal(t, sent, Answered, "%v", err)
		group.Wait()
		target.Close()
	})
}

// TestSlowServerKeepsItsConnections checks that connections are kept if a request waits long for its answer while the
// target answers others: each new connection to a server that is busy may be one too many for it.
func TestSlowServerKeepsItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var server *fakeServer
		server = newFakeServer(func(conn net.Conn, req *http.Request) bool {
			wait := time.Millisecond
			if server.requests.Load() == 4 {
				wait = time.Second
			}
			return delayed(wait, answerWith(completeAnswer))(conn, req)
		})
		target := server.target(t, Options{})
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() { send(t, target, get) })
		}
		group.Wait()
		time.Sleep(10 * time.Millisecond)
		group.Go(func() {
			sent, body, err := send(t, target, get)
			assert.Check(t, err)
			assert.Check(t, sent == Answered)
			assert.Check(t, body == "done")
		})
		time.Sleep(20 * time.Millisecond)
		for range 50 {
			send(t, target, get)
			time.Sleep(20 * time.Millisecond)
		}
		group.Wait()
		assert.Equal(t, target.Connections(), 3)
		assert.Equal(t, server.dials.Load(), int64(3))
		target.Close()
	})
}
