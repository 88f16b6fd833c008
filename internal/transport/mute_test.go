package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// muteServer is a server with slots and a queue that never answers a request that it cannot queue, nor any later one on
// that connection.
type muteServer struct {
	slots chan struct{}
	// room is the number of requests that may be at the server, in slots and queue.
	room     int64
	work     time.Duration
	present  atomic.Int64
	executed atomic.Int64
}

func newMuteServer(slots, queue int, work time.Duration) *muteServer {
	return &muteServer{slots: make(chan struct{}, slots), room: int64(slots + queue), work: work}
}

// answer is the script of the server.
func (m *muteServer) answer(conn net.Conn, _ *http.Request) bool {
	defer m.present.Add(-1)
	if m.present.Add(1) > m.room {
		_, _ = io.Copy(io.Discard, conn)
		return false
	}
	m.slots <- struct{}{}
	time.Sleep(m.work)
	<-m.slots
	m.executed.Add(1)
	_, err := io.WriteString(conn, completeAnswer)
	return err == nil
}

// withSilenceRule returns a request whose connection is judged after half a second of silence.
func withSilenceRule(request Request, mute *atomic.Int64) Request {
	request.Silence = Silence{After: 500 * time.Millisecond, OnMute: func() { mute.Add(1) }}
	return request
}

// TestConnectionThatIsSilentWhileOthersDeliverIsGivenUp guards against requests that wait until their deadline at a server
// that will never answer them, on new and on reused connections.
func TestConnectionThatIsSilentWhileOthersDeliverIsGivenUp(t *testing.T) {
	for name, request := range map[string]Request{"idempotent": get, "not idempotent": post} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMuteServer(2, 8, 90*time.Millisecond)
				target := newFakeServer(m.answer).target(t, Options{Connections: 20, FreshFor: time.Minute})
				var mute, silent, answered atomic.Int64
				var group sync.WaitGroup
				for range 15 {
					group.Go(func() {
						started := time.Now()
						result := target.Send(t.Context(), withSilenceRule(request, &mute))
						if result.Sent == Answered {
							answered.Add(1)
							io.Copy(io.Discard, result.Response.Body)
							result.Response.Body.Close()
							return
						}
						assert.Check(t, errors.Is(result.Err, ErrSilent), "%v", result.Err)
						assert.Check(t, result.Sent == MaybeSent)
						assert.Check(t, time.Since(started) <= 600*time.Millisecond, "%v", time.Since(started))
						silent.Add(1)
					})
				}
				group.Wait()
				assert.Equal(t, answered.Load(), int64(10))
				assert.Equal(t, silent.Load(), int64(5))
				assert.Equal(t, m.executed.Load(), int64(10))
				assert.Equal(t, mute.Load(), int64(0))
				target.Close()
			})
		})
	}
}

// TestRequestAtASlowServerWaits guards against giving up a connection of a server that delivers nothing at all: it may be
// slow. Its caller is told once.
func TestRequestAtASlowServerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newFakeServer(delayed(1520*time.Millisecond, answerWith(completeAnswer))).target(t, Options{})
		var mute atomic.Int64
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() {
				sent, body, err := send(t, target, withSilenceRule(get, &mute))
				assert.Check(t, err)
				assert.Check(t, sent == Answered)
				assert.Check(t, body == "done")
			})
		}
		group.Wait()
		assert.Equal(t, mute.Load(), int64(3))
		target.Close()
	})
}

// TestSuspendedRuleEndsNoRequest guards against a request at which its server is at work and which is given up, because the server
// delivers on other connections, while the host shuts down and may break off nothing.
func TestSuspendedRuleEndsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Bool
		requests := atomic.Int64{}
		target := newFakeServer(func(conn net.Conn, request *http.Request) bool {
			work := 100 * time.Millisecond
			if requests.Add(1) == 1 {
				work = 1400 * time.Millisecond
			}
			return delayed(work, answerWith(completeAnswer))(conn, request)
		}).target(t, Options{Connections: 4})
		slow := get
		slow.Silence = Silence{After: 500 * time.Millisecond, Suspended: suspended.Load}
		time.AfterFunc(300*time.Millisecond, func() { suspended.Store(true) })
		var group sync.WaitGroup
		group.Go(func() {
			sent, body, err := send(t, target, slow)
			assert.Check(t, err)
			assert.Check(t, sent == Answered)
			assert.Check(t, body == "done")
		})
		for range 8 {
			time.Sleep(150 * time.Millisecond)
			sent, _, err := send(t, target, get)
			assert.Check(t, sent == Answered, "%v", err)
		}
		group.Wait()
		target.Close()
	})
}

// TestAnswerDuringTheQuestionIsRead guards against an answer that is cut off because it begins while the rule is asked whether it is
// suspended, which takes a while if another host has to be asked.
func TestAnswerDuringTheQuestionIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := atomic.Int64{}
		head, body := completeAnswer[:len(completeAnswer)-len("done")], "done"
		target := newFakeServer(func(conn net.Conn, request *http.Request) bool {
			if requests.Add(1) > 1 {
				return delayed(100*time.Millisecond, answerWith(completeAnswer))(conn, request)
			}
			time.Sleep(1400 * time.Millisecond)
			io.WriteString(conn, head)
			time.Sleep(200 * time.Millisecond)
			io.WriteString(conn, body)
			return true
		}).target(t, Options{Connections: 4})
		slow := get
		slow.Silence = Silence{After: 500 * time.Millisecond, Suspended: func() bool {
			time.Sleep(time.Second)
			return false
		}}
		var group sync.WaitGroup
		group.Go(func() {
			sent, got, err := send(t, target, slow)
			assert.Check(t, err)
			assert.Check(t, sent == Answered)
			assert.Check(t, got == body)
		})
		for range 3 {
			time.Sleep(150 * time.Millisecond)
			sent, _, err := send(t, target, get)
			assert.Check(t, sent == Answered, "%v", err)
		}
		group.Wait()
		target.Close()
	})
}

// TestSilenceIsNotJudgedWithoutARule guards against a change for requests that set no rule.
func TestSilenceIsNotJudgedWithoutARule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMuteServer(1, 0, 100*time.Millisecond)
		target := newFakeServer(m.answer).target(t, Options{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var group sync.WaitGroup
		var lost atomic.Int64
		for range 2 {
			group.Go(func() {
				result := target.Send(ctx, get)
				if result.Sent != Answered {
					assert.Check(t, errors.Is(result.Err, context.DeadlineExceeded), "%v", result.Err)
					lost.Add(1)
					return
				}
				io.Copy(io.Discard, result.Response.Body)
				result.Response.Body.Close()
			})
		}
		group.Wait()
		assert.Equal(t, lost.Load(), int64(1))
		target.Close()
	})
}
