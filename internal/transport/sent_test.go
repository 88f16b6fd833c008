package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/backend"
)

// arrivals counts how often each request reached the server, by request ID.
type arrivals struct {
	mu   sync.Mutex
	seen map[string]int
}

func (a *arrivals) record(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen[id]++
}

func (a *arrivals) count(id int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[strconv.Itoa(id)]
}

// answerAtRandom answers after a random delay, or at random cuts the answer short or never answers.
func (a *arrivals) answerAtRandom(conn net.Conn, req *http.Request) bool {
	a.record(req.Header.Get(backend.HeaderRequestID))
	time.Sleep(rand.N(6 * time.Millisecond))
	switch rand.IntN(8) {
	case 0:
		return answerAndClose("")(conn, req)
	case 1:
		return answerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")(conn, req)
	case 2:
		return neverAnswer(conn, req)
	default:
		return answerWith(completeAnswer)(conn, req)
	}
}

// TestSentMatchesWhatArrived sends requests whose deadlines pass at random moments over few
// connections to a server that fails at random. No request may reach the server twice,
// and none with the result NotSent may reach it at all, also later.
func TestSentMatchesWhatArrived(t *testing.T) {
	const rounds, workers, requests = 40, 6, 40
	sent := map[Sent]int{}
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			a := &arrivals{seen: map[string]int{}}
			server := newFakeServer(a.answerAtRandom)
			dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
				time.Sleep(rand.N(3 * time.Millisecond))
				return server.dial(ctx, network, addr)
			}
			target := NewTarget("10.0.0.1:80", Options{Dial: dial, Clock: fakeClock, Connections: 3, FreshFor: time.Millisecond})
			results := make([]Sent, workers*requests)
			var group sync.WaitGroup
			for worker := range workers {
				group.Go(func() {
					for i := range requests {
						id := worker*requests + i
						time.Sleep(rand.N(2 * time.Millisecond))
						results[id] = sendNumbered(t, target, id)
					}
				})
			}
			group.Wait()
			target.Close()
			time.Sleep(time.Minute)
			for id, result := range results {
				sent[result]++
				count := a.count(id)
				assert.Assert(t, count <= 1, "request %d ran %d times", id, count)
				assert.Assert(t, result != NotSent || count == 0, "request %d was sent", id)
				assert.Assert(t, result != Answered || count == 1, "request %d was not seen", id)
			}
		})
	}
	t.Logf("not sent %d, maybe sent %d, answered %d", sent[NotSent], sent[MaybeSent], sent[Answered])
	assert.Assert(t, sent[NotSent] > 0 && sent[MaybeSent] > 0 && sent[Answered] > 0)
}

// sendNumbered sends one request with a short deadline.
func sendNumbered(t *testing.T, target *Target, id int) Sent {
	req := Request{
		Method:     []string{http.MethodGet, http.MethodPost}[rand.IntN(2)],
		Path:       "/",
		Header:     http.Header{backend.HeaderRequestID: {strconv.Itoa(id)}, backend.HeaderIdempotencyKey: {"k"}},
		Body:       [][]byte{nil, []byte("sign-off")}[rand.IntN(2)],
		Idempotent: rand.IntN(2) == 0,
	}
	ctx, cancel := context.WithTimeout(t.Context(), rand.N(12*time.Millisecond))
	defer cancel()
	result := target.Send(ctx, req)
	_ = drain(result.Response, result.Err)
	return result.Sent
}
