package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/inbound"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// leavingHost is a host with a server for callers whose shutdown a test observes.
type leavingHost struct {
	*Host
	listener *callerListener
	callers  *http.Server
}

func newLeavingHost(t *testing.T, grace time.Duration, handler http.HandlerFunc) *leavingHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &leavingHost{
		Host: &Host{
			config: Config{Grace: grace}, log: eventlog.Discard(), current: assign.NewCurrent(),
			peers:   &peers{pool: peer.NewPool((&net.Dialer{}).DialContext)},
			ingress: front.New(front.Config{Clock: clock.Monotonic, Log: eventlog.Discard()}),
			pools:   newTestPools(),
		},
		listener: newCallerListener(listener.(*net.TCPListener), newTestGuard()),
	}
	h.callers = &http.Server{Handler: handler, ConnState: h.listener.track}
	t.Cleanup(func() { h.callers.Close() })
	return h
}

func (h *leavingHost) serve() { go h.serveOn("callers", h.callers, h.listener) }

// dial opens a caller's connection.
func (h *leavingHost) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", h.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

const (
	requestLine = "GET / HTTP/1.1\r\n"
	requestRest = "Host: a.example\r\n\r\n"
)

// readAnswer reads one answer and returns its status, or an error.
func readAnswer(conn net.Conn) (int, error) {
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func answerOK(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }

// TestShutdownAnswersConnectionsInTheQueue guards against a planned shutdown that resets connections which the kernel has
// accepted and this process has not yet, with their requests.
func TestShutdownAnswersConnectionsInTheQueue(t *testing.T) {
	h := newLeavingHost(t, time.Second, answerOK)
	var conns []net.Conn
	for range 50 {
		conn := h.dial(t)
		_, err := io.WriteString(conn, requestLine+requestRest)
		assert.NilError(t, err)
		conns = append(conns, conn)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	h.serve()
	h.listener.stop(ctx)
	for i, conn := range conns {
		status, err := readAnswer(conn)
		assert.NilError(t, err, "connection %d", i)
		assert.Equal(t, status, http.StatusOK)
	}
}

// TestShutdownAnswersARequestThatHasBegunToArrive guards against a planned shutdown that closes a kept connection while the
// header of its next request is arriving: the HTTP library still counts the connection as idle.
func TestShutdownAnswersARequestThatHasBegunToArrive(t *testing.T) {
	h := newLeavingHost(t, 3*time.Second, answerOK)
	h.serve()
	begun, quiet := h.dial(t), h.dial(t)
	for _, conn := range []net.Conn{begun, quiet} {
		io.WriteString(conn, requestLine+requestRest)
		status, err := readAnswer(conn)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	io.WriteString(begun, requestLine)
	left := make(chan struct{})
	go func() {
		h.leave(h.listener, h.callers)
		close(left)
	}()
	// The connection without a request is closed once the lame-duck period is over.
	_, err := readAnswer(quiet)
	assert.Assert(t, err != nil)
	io.WriteString(begun, requestRest)
	status, err := readAnswer(begun)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	begun.Close()
	<-left
}

// TestShutdownEndsWithFinalAnswers guards against requests that are cut off without an answer because they last longer than
// the grace time.
func TestShutdownEndsWithFinalAnswers(t *testing.T) {
	var h *leavingHost
	h = newLeavingHost(t, 2*time.Second, func(w http.ResponseWriter, r *http.Request) {
		ended := make(chan struct{})
		stop := context.AfterFunc(h.ingress.Ending(), func() { close(ended) })
		defer stop()
		<-ended
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	h.serve()
	conn := h.dial(t)
	io.WriteString(conn, requestLine+requestRest)
	var waiting sync.WaitGroup
	began := time.Now()
	waiting.Go(func() { h.leave(h.listener, h.callers) })
	status, err := readAnswer(conn)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	waiting.Wait()
	assert.Assert(t, time.Since(began) <= h.config.Grace, "%v", time.Since(began))
}

// TestOtherHostsAreToldOfAShutdown checks that all hosts of the plan learn at once that a host is shutting down, but for those that
// are retired.
func TestOtherHostsAreToldOfAShutdown(t *testing.T) {
	receiver, addr := startReceiver(t)
	told := make(chan string, 4)
	receiver.hostLeaves = func(name string) { told <- name }
	h := newLeavingHost(t, 20*time.Second, answerOK)
	h.self = assign.Host{Name: "h1", Incarnation: "1"}
	h.current.Adopt(assign.Plan{Version: 1, Hosts: []assign.Host{
		h.self, {Name: "h2", Incarnation: "1", Addr: addr}, {Name: "h3", Incarnation: "1", Addr: addr, Retired: true},
	}})
	h.announceShutdown()
	select {
	case name := <-told:
		assert.Equal(t, name, "h1")
	case <-time.After(10 * time.Second):
		t.Fatal("nobody is told")
	}
	assert.Equal(t, len(told), 0)
}

// TestHostSaysWhetherItIsShuttingDown checks the answer to another host's question, which that host asks before it gives up a
// request that this one has forwarded to it. A build without the method gives no answer.
func TestHostSaysWhetherItIsShuttingDown(t *testing.T) {
	receiver, addr := startReceiver(t)
	asking := &peers{pool: peer.NewPool((&net.Dialer{}).DialContext)}
	for _, leaving := range []bool{false, true} {
		receiver.isLeaving = func() bool { return leaving }
		got, err := asking.askLeaving(t.Context(), assign.Host{Addr: addr})
		assert.NilError(t, err)
		assert.Equal(t, got, leaving)
	}
	older := rpc.NewServer()
	assert.NilError(t, older.RegisterName(rpcName, &buildBeforeQuestions{}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { peer.ServeRPC(t.Context(), older, w) }))
	t.Cleanup(server.Close)
	_, err := asking.askLeaving(t.Context(), assign.Host{Addr: server.Listener.Addr().String()})
	assert.ErrorContains(t, err, "can't find method")
}

// buildBeforeQuestions is that of a build which is not asked whether it is shutting down.
type buildBeforeQuestions struct{}

// Leaves does nothing.
func (buildBeforeQuestions) Leaves(LeavesArgs, *Empty) error { return nil }

// newTestGuard returns a guard without limits.
func newTestGuard() *inbound.Guard {
	return inbound.New(inbound.Config{Limits: func() inbound.Limits { return inbound.Limits{} }, Log: eventlog.Discard().Event})
}
