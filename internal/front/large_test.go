package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/payload"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

// TestLargeAnswerArrivesBeforeItIsComplete checks that a caller gets the first part of a large answer, with the digest,
// while the server still sends, that the rest follows unchanged, and that the server's slot is taken until then.
func TestLargeAnswerArrivesBeforeItIsComplete(t *testing.T) {
	for _, framing := range framings {
		for _, hop := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, hop %t", framing, hop), func(t *testing.T) {
				server := &largeServer{framing: framing, body: largeBody, cutAfter: noCut, pauseAfter: 128 << 10, resume: make(chan struct{})}
				addr := server.start(t)
				receiver := newHost(t, "h1", addr)
				serving := receiver
				if hop {
					receiver, serving = throughHop(t, addr)
				}
				request, err := http.NewRequest("GET", receiver.callers.URL+"/file/x", nil)
				assert.NilError(t, err)
				request.Host = "a.example"
				request.Header = http.Header{"X-Id": {"i"}, "X-Key": {"1"}, "X-Left": {receiver.timeoutMS}}
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				defer response.Body.Close()
				assert.Equal(t, response.Header.Get("X-Digest"), "d")
				length := int64(-1)
				if framing == framingLength {
					length = int64(len(largeBody))
				}
				assert.Equal(t, response.ContentLength, length)
				first := make([]byte, streamThreshold)
				_, err = io.ReadFull(response.Body, first)
				assert.NilError(t, err)
				owner, _ := serving.fleet.Server("revize-0")
				gate := serving.ingress.gates.get(owner.Entry())
				running, _ := gate.Len()
				assert.Equal(t, running, 1, "the slot is taken")
				assert.Assert(t, owner.Occupancy(serving.ingress.clock()) > 0)
				close(server.resume)
				rest, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Assert(t, string(first)+string(rest) == largeBody, "%d bytes", len(first)+len(rest))
				awaitUntil(t, 5*time.Second, "the slot is free", func() bool { running, _ := gate.Len(); return running == 0 })
				assert.Equal(t, owner.Occupancy(serving.ingress.clock()), 0.0)
				awaitUntil(t, 5*time.Second, "memory is given back", func() bool { return receiver.ingress.BodyMemory()["held"] == 0 })
			})
		}
	}
}

// TestLargeAnswerThatBreaksOffIsNeverComplete checks every stage at which an answer can break off. Before its first part is
// complete another attempt serves the request; later the caller must see that the answer is incomplete, and no server
// may get the request again. An answer that ends with its connection cannot be told from a complete one if the connection
// is closed, so for that one only a reset is checked.
func TestLargeAnswerThatBreaksOffIsNeverComplete(t *testing.T) {
	for _, framing := range framings {
		for stage, cutAfter := range map[string]int{"header": -1, "no body": 0, "first part": 32 << 10, "first part is just complete": 64 << 10, "later": 200 << 10, "last part": len(largeBody) - 4096} {
			for _, reset := range []bool{false, true} {
				if framing == framingUndelimited && !reset && cutAfter >= 0 {
					continue
				}
				for _, hop := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, reset %t, hop %t", framing, stage, reset, hop), func(t *testing.T) {
						t.Parallel()
						checkBrokenAnswer(t, &largeServer{framing: framing, body: largeBody, cutAfter: cutAfter, reset: reset}, hop)
					})
				}
			}
		}
	}
}

func checkBrokenAnswer(t *testing.T, server *largeServer, hop bool) {
	addr := server.start(t)
	// The second attempt of a request without a key goes to a server whose answer is complete.
	whole := &largeServer{framing: framingLength, body: largeBody, cutAfter: noCut}
	receiver, path := newHost(t, "h1", addr, whole.start(t)), "/download/x"
	if hop {
		receiver, _ = throughHop(t, addr)
		path = "/file/x"
	}
	response, body, err := receiver.call(t, "GET", path, "")
	// A part of the body that ends exactly with the first part may come before the answer is seen to go on.
	if server.cutAfter <= streamThreshold {
		assert.NilError(t, err)
		if hop {
			assert.Equal(t, response.StatusCode, http.StatusBadGateway, "the only server breaks off each time")
			return
		}
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, body == largeBody)
		return
	}
	if server.reset && err == nil && (response.StatusCode == http.StatusBadGateway || whole.requests.Load() == 1) {
		// A reset discards what this host has not read yet, so that it may have seen the end within the first part. Another
		// attempt is right then, and its answer has to be whole.
		assert.Assert(t, response.StatusCode == http.StatusBadGateway || body == largeBody, "%d bytes", len(body))
		return
	}
	assert.Assert(t, err != nil, "%d of %d bytes passed for the whole answer, status %v", len(body), len(largeBody), response)
	assert.Equal(t, server.requests.Load(), int64(1), "sent again after a part had reached the caller")
	assert.Equal(t, whole.requests.Load(), int64(0), "sent again after a part had reached the caller")
}

// TestSizesAroundTheFirstPart checks that answers that are as large as the first part, or a little smaller or larger, arrive
// whole, also where their connection is used again.
func TestSizesAroundTheFirstPart(t *testing.T) {
	for _, framing := range framings {
		for _, size := range []int{0, 1, streamThreshold - 1, streamThreshold, streamThreshold + 1, streamThreshold + 2, 2*streamThreshold + 2} {
			server := &largeServer{framing: framing, body: largeBody[:size], cutAfter: noCut}
			addr := server.start(t)
			for _, path := range []string{"/download/x", "/file/x"} {
				s := newHost(t, "h1", addr)
				if path == "/file/x" {
					s, _ = throughHop(t, addr)
				}
				for n := range 3 {
					response, body, err := s.call(t, "GET", path, "")
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Assert(t, body == largeBody[:size], "%s, %d: call %d got %d bytes of %d", framing, size, n, len(body), size)
				}
			}
		}
	}
}

// TestServerThatStallsInALargeAnswer checks that an answer that does not go on is ended as incomplete at the deadline.
func TestServerThatStallsInALargeAnswer(t *testing.T) {
	for _, hop := range []bool{false, true} {
		server := &largeServer{framing: framingLength, body: largeBody, cutAfter: noCut, pauseAfter: 128 << 10, resume: make(chan struct{})}
		defer close(server.resume)
		addr := server.start(t)
		receiver := newHost(t, "h1", addr)
		if hop {
			receiver, _ = throughHop(t, addr)
		}
		receiver.timeoutMS = "700"
		started := time.Now()
		_, body, err := receiver.call(t, "GET", "/file/x", "")
		assert.Assert(t, err != nil, "%d bytes passed for the whole answer", len(body))
		assert.Assert(t, time.Since(started) < 5*time.Second)
	}
}

// TestOldCallerGetsNoUndelimitedPart checks that an answer without a length reaches a caller without chunked encoding only
// when it is complete: a part would end like the whole.
func TestOldCallerGetsNoUndelimitedPart(t *testing.T) {
	for _, cut := range []int{200 << 10, noCut} {
		server := &largeServer{framing: framingChunked, body: largeBody, cutAfter: cut}
		s := newHost(t, "h1", server.start(t))
		conn := s.dialRaw(t, "GET /download/x HTTP/1.0\r\nHost: a.example\r\nX-Id: i\r\nX-Left: "+s.timeoutMS+"\r\n\r\n")
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		head, body, _ := strings.Cut(string(answer), "\r\n\r\n")
		if cut == noCut {
			assert.Assert(t, body == largeBody, "%s", head)
			continue
		}
		assert.Assert(t, strings.Contains(head, " 502 "), "%s", head)
	}
}

// TestCallerOfALargeAnswerGoes checks that the server is rid of an answer within 0.5 s after its caller has disconnected,
// while the server sends and while it pauses.
func TestCallerOfALargeAnswerGoes(t *testing.T) {
	for _, pauses := range []bool{false, true} {
		for _, hop := range []bool{false, true} {
			t.Run(fmt.Sprintf("pauses %t, hop %t", pauses, hop), func(t *testing.T) {
				server := &largeServer{framing: framingLength, body: strings.Repeat(largeBody, 100), cutAfter: noCut}
				if pauses {
					server.pauseAfter, server.resume = 128<<10, make(chan struct{})
				}
				var ended time.Time
				var mu sync.Mutex
				addr := serveWatched(t, server, func() {
					mu.Lock()
					defer mu.Unlock()
					ended = time.Now()
				})
				receiver := newHost(t, "h1", addr)
				if hop {
					receiver, _ = throughHop(t, addr)
				}
				conn := receiver.dialCaller(t, "/file/x", "i")
				_, err := io.ReadFull(conn, make([]byte, streamThreshold))
				assert.NilError(t, err)
				left := time.Now()
				conn.Close()
				awaitUntil(t, 5*time.Second, "the server's connection has ended", func() bool {
					mu.Lock()
					defer mu.Unlock()
					return !ended.IsZero()
				})
				t.Logf("the server's connection ended after %v", ended.Sub(left))
				assert.Assert(t, ended.Sub(left) <= 500*time.Millisecond, "%v", ended.Sub(left))
			})
		}
	}
}

// TestCallerThatStopsReading checks that a caller that reads nothing for 5 s loses its connection, that the server is rid
// of the answer then, and that little of the answer is read meanwhile. The request is not suspected of having broken the
// connection.
func TestCallerThatStopsReading(t *testing.T) {
	for _, hop := range []bool{false, true} {
		t.Run(fmt.Sprintf("hop %t", hop), func(t *testing.T) {
			t.Parallel()
			server := &largeServer{framing: framingLength, body: strings.Repeat(largeBody, 100), cutAfter: noCut}
			addr := server.start(t)
			receiver := newHost(t, "h1", addr)
			serving := receiver
			if hop {
				receiver, serving = throughHop(t, addr)
			}
			started := time.Now()
			receiver.dialCaller(t, "/file/x", "i")
			awaitUntil(t, 10*time.Second, "the connection has ended", func() bool { return server.ended.Load() > 0 })
			took := time.Since(started)
			assert.Assert(t, took >= callerStall && took < callerStall+2*time.Second, "after %v", took)
			assert.Assert(t, receiver.read.Load() < 512<<10, "%d bytes read for a caller that reads nothing", receiver.read.Load())
			t.Logf("the connection ended after %v, %d bytes were read from the server", took, receiver.read.Load())
			r := &Request{Method: "GET", Host: "a.example", Path: "/file/x"}
			awaitUntil(t, 5*time.Second, "memory is given back", func() bool { return serving.ingress.BodyMemory()["held"] == 0 })
			assert.Equal(t, serving.ingress.config.Guard.Check(fingerprint(r, "4711")).String(), poison.Clean.String())
			assert.Equal(t, server.requests.Load(), int64(1))
		})
	}
}

// TestDeadlineEndsAnAnswerThatIsNotRead checks that an answer to a caller that does not read ends at the request's deadline,
// if that is before callerStall.
func TestDeadlineEndsAnAnswerThatIsNotRead(t *testing.T) {
	server := &largeServer{framing: framingLength, body: strings.Repeat(largeBody, 100), cutAfter: noCut}
	s := newHost(t, "h1", server.start(t))
	s.timeoutMS = "700"
	started := time.Now()
	s.dialCaller(t, "/download/x", "i")
	awaitUntil(t, 10*time.Second, "the connection has ended", func() bool { return server.ended.Load() > 0 })
	awaitUntil(t, 10*time.Second, "memory is given back", func() bool { return s.ingress.BodyMemory()["held"] == 0 })
	took := time.Since(started)
	assert.Assert(t, took >= 600*time.Millisecond && took < 2*time.Second, "after %v", took)
}

// TestSlowCallerGetsTheWholeAnswer checks that a caller that goes on reading, for longer than callerStall in all, keeps its
// connection.
func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	t.Parallel()
	// Beyond what the caller reads, the kernels hold some hundred KB.
	server := &largeServer{framing: framingLength, body: strings.Repeat(largeBody, 3), cutAfter: noCut}
	s := newHost(t, "h1", server.start(t))
	conn := s.dialCaller(t, "/download/x", "i")
	started := time.Now()
	read := 0
	buffer := make([]byte, 24<<10)
	for read < len(server.body) {
		n, err := conn.Read(buffer)
		assert.NilError(t, err, "after %v and %d bytes", time.Since(started), read)
		read += n
		time.Sleep(150 * time.Millisecond)
	}
	assert.Assert(t, time.Since(started) > callerStall, "the test reads too fast: %v", time.Since(started))
}

// TestMemoryOfLargeAnswersIsBounded checks that many large answers at once, to callers that read slowly, stay within the
// bound, and that a request beyond it is refused with a time to come back and reaches no server.
func TestMemoryOfLargeAnswersIsBounded(t *testing.T) {
	server := &largeServer{framing: framingLength, body: strings.Repeat(largeBody, 2), cutAfter: noCut}
	s := newHost(t, "h1", server.start(t))
	const bound, callers = 3 << 20, 40
	s.ingress.memory = payload.NewMemory(bound)
	var calls sync.WaitGroup
	var mu sync.Mutex
	whole, refused := int64(0), 0
	for i := range callers {
		calls.Go(func() {
			conn := s.dialCaller(t, "/download/x", "i"+strconv.Itoa(i))
			time.Sleep(500 * time.Millisecond)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if !assert.Check(t, err) {
				return
			}
			body, err := io.ReadAll(answer.Body)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			if answer.StatusCode == http.StatusOK {
				whole++
				assert.Check(t, string(body) == server.body)
				return
			}
			refused++
			assert.Check(t, answer.StatusCode == http.StatusServiceUnavailable, "%d", answer.StatusCode)
			after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			assert.Check(t, err)
			assert.Check(t, after > 0 && after <= 20.0/3, "%v", after)
		})
	}
	calls.Wait()
	most := s.ingress.BodyMemory()["most"]
	t.Logf("%d answers passed on, %d refused, %d bytes held at most", whole, refused, most)
	assert.Assert(t, most <= bound, "%d bytes held", most)
	assert.Assert(t, whole > 0 && refused > 0, "whole %d, refused %d", whole, refused)
	assert.Equal(t, server.requests.Load(), whole, "a refused request reached the server")
	awaitUntil(t, 5*time.Second, "memory is given back", func() bool { return s.ingress.BodyMemory()["held"] == 0 })
}

// TestHeldBodiesCountAgainstTheBound checks that bodies of requests and answers that are held stay within the bound too.
func TestHeldBodiesCountAgainstTheBound(t *testing.T) {
	server := startServer(t, rawAnswer(200, strings.Repeat("x", 100<<10)))
	s := newSystem(t, server)
	s.ingress.memory = payload.NewMemory(80 << 10)
	response, _, err := s.call(t, "GET", "/keyed/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway, "the answer is over the bound")
	awaitUntil(t, 5*time.Second, "memory is given back", func() bool { return s.ingress.BodyMemory()["held"] == 0 })
	sent := len(server.seen())
	other := payload.NewHolding(s.ingress.memory)
	assert.Assert(t, other.Take(50<<10))
	response, _, err = s.call(t, "GET", "/any/x", "")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, "there is no room for the answer")
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, len(server.seen()), sent, "a refused request reached the server")
	other.Release()
	// The only body may take twice the bound.
	s.ingress.memory = payload.NewMemory(400)
	response, _, err = s.call(t, "POST", "/post/x", strings.Repeat("x", 900))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	awaitUntil(t, 5*time.Second, "memory is given back", func() bool { return s.ingress.BodyMemory()["held"] == 0 })
}

// TestConnectionIsUsedAgainAfterALargeAnswer guards against a write deadline of one answer that holds for a later one on the
// same connection.
func TestConnectionIsUsedAgainAfterALargeAnswer(t *testing.T) {
	for _, path := range []string{"/download/x", "/any/x", "/none/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			server := &largeServer{framing: framingLength, body: largeBody, cutAfter: noCut}
			s := newHost(t, "h1", server.start(t))
			conn := s.dialCaller(t, "/download/x", "i")
			reader := bufio.NewReader(conn)
			readAnswer(t, reader)
			time.Sleep(callerStall + 300*time.Millisecond)
			_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: j\r\nX-Left: 20000\r\n\r\n", path)
			assert.NilError(t, err)
			readAnswer(t, reader)
		})
	}
}

func readAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
}

// TestLargeAnswersAcrossBuilds checks a hop between this build and one that does not know the flag for large answers: the
// other build holds the answer, and a part never passes for the whole.
func TestLargeAnswersAcrossBuilds(t *testing.T) {
	for _, cutAfter := range []int{noCut, 200 << 10} {
		server := &largeServer{framing: framingChunked, body: largeBody, cutAfter: cutAfter}
		addr := server.start(t)
		receiver, primary := newHost(t, "h1", addr), newHost(t, "h2", addr)
		// Without the flag, the primary does what the former build does.
		former := servePeersWith(t, func(w http.ResponseWriter, hr *http.Request) {
			text := hr.Header.Get(HeaderForward)
			assert.Check(t, strings.HasSuffix(text, flagLarge), "%s", text)
			hr.Header.Set(HeaderForward, strings.TrimSuffix(text, flagLarge))
			primary.ingress.ServeForwarded(w, hr)
		})
		host := assign.Host{Name: "h2", Zone: "zlin", Addr: former}
		receiver.assignAllKeys("revize-0", addr, 2, host)
		primary.assignAllKeys("revize-0", addr, 2, host)
		response, body, err := receiver.call(t, "GET", "/file/x", "")
		assert.NilError(t, err)
		if cutAfter == noCut {
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, response.ContentLength, int64(len(largeBody)), "the former build holds the answer")
			assert.Assert(t, body == largeBody)
			continue
		}
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	}
}

// TestBusyLinkRefusesLargeAnswers checks that a request whose answer would wait for the link beyond its goal is refused at
// once, and that requests of other routes are not.
func TestBusyLinkRefusesLargeAnswers(t *testing.T) {
	for _, hop := range []bool{false, true} {
		server := startServer(t, answerOK)
		receiver := newSystem(t, server)
		busy := receiver
		if hop {
			receiver, busy = throughHop(t, server.addr)
		}
		busy.ingress.link.rate = 100_000
		busy.ingress.link.wrote(600_000)
		started := time.Now()
		response, _, err := receiver.call(t, "GET", "/file/x", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		// The goal is 5 s. The link needs 6 s for what waits and 0.66 s for 64 KiB, the size of an unknown answer.
		assert.Assert(t, after > 1 && after <= 1.7, "%v", after)
		assert.Equal(t, len(server.seen()), 0)
		response, _, err = receiver.call(t, "GET", "/keyed/x", "")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}

// TestAnswerThatTheCallerDoesNotTakeSaysNothingAboutTheServer checks what an answer that broke off counts for.
func TestAnswerThatTheCallerDoesNotTakeSaysNothingAboutTheServer(t *testing.T) {
	ctx := context.Background()
	byCaller := attempt{outcome: attemptLost, callerFailed: true}
	assert.Equal(t, byCaller.guardEnding(ctx), poison.TimedOut)
	assert.Equal(t, byCaller.fleetEnding(ctx), fleet.Cancelled)
	byServer := attempt{outcome: attemptLost}
	assert.Equal(t, byServer.guardEnding(ctx), poison.Broken)
	assert.Equal(t, byServer.fleetEnding(ctx), fleet.Failed)
}
