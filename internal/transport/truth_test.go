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

// witness counts how often each request reached the server.
type witness struct {
	mu   sync.Mutex
	seen map[string]int
}

func (w *witness) note(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[id]++
}

func (w *witness) count(id int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen[strconv.Itoa(id)]
}

// erratic answers, delays, breaks off or falls silent at random.
func (w *witness) erratic(conn net.Conn, req *http.Request) bool {
	w.note(req.Header.Get(backend.HeaderRequestID))
	time.Sleep(rand.N(6 * time.Millisecond))
	switch rand.IntN(8) {
	case 0:
		return writeAndClose("")(conn, req)
	case 1:
		return writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone")(conn, req)
	case 2:
		return silent(conn, req)
	default:
		return write(whole)(conn, req)
	}
}

// TestResultsAreTrue sends requests whose deadlines pass at random moments to
// an erratic server over few connections. None may run twice, and none that is
// told not sent may have reached the server, then or later.
func TestResultsAreTrue(t *testing.T) {
	const rounds, workers, requests = 40, 6, 40
	sent := map[Sent]int{}
	for range rounds {
		synctest.Test(t, func(t *testing.T) {
			w := &witness{seen: map[string]int{}}
			server := newFake(w.erratic)
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
				count := w.count(id)
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
