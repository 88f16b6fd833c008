package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	testMethod = "Peer.LeadOf"
	// answeredTimeout bounds a call that gets an answer, unansweredTimeout one that gets none.
	answeredTimeout   = 10 * time.Second
	unansweredTimeout = 100 * time.Millisecond
)

// fakePeer answers calls. A call for slowSession waits until release is closed, one for
// failingSession gets an error.
type fakePeer struct {
	release chan struct{}
}

const (
	slowSession    = record.SessionID(1)
	failingSession = record.SessionID(2)
)

// LeadOf answers a call.
func (p *fakePeer) LeadOf(args SessionArgs, reply *LeadOfReply) error {
	switch args.Session {
	case slowSession:
		<-p.release
	case failingSession:
		return errors.New("refused by the peer")
	}
	reply.Known = true
	return nil
}

// blackholeConn is a connection that, once blackholed, accepts all writes and drops them.
type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// blackhole makes the given connections drop all writes from now on.
func blackhole(raws []*blackholeConn) {
	for _, conn := range raws {
		conn.blackholed.Store(true)
	}
}

// start serves a peer and returns a pool, the peer's address, the list to which every
// connection that the pool opens is appended, and the peer.
func start(t *testing.T) (pool *Pool, addr string, raws *[]*blackholeConn, server *fakePeer) {
	t.Helper()
	server = &fakePeer{release: make(chan struct{})}
	service := rpc.NewServer()
	assert.NilError(t, service.RegisterName("Peer", server))
	ctx, cancel := context.WithCancel(context.Background())
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ServeRPC(ctx, service, w)
	}))
	t.Cleanup(host.Close)
	t.Cleanup(cancel)
	raws = &[]*blackholeConn{}
	var mu sync.Mutex
	pool = NewPool(func(ctx context.Context, kind, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, addr)
		if err != nil {
			return nil, err
		}
		wrapped := &blackholeConn{Conn: conn}
		mu.Lock()
		defer mu.Unlock()
		*raws = append(*raws, wrapped)
		return wrapped, nil
	})
	t.Cleanup(pool.Close)
	return pool, host.Listener.Addr().String(), raws, server
}

// leadOf makes one call and reports an empty reply as an error.
func leadOf(pool *Pool, timeout time.Duration, addr string, id record.SessionID) error {
	var reply LeadOfReply
	err := pool.CallTimeout(context.Background(), timeout, addr, testMethod, SessionArgs{Session: id}, &reply)
	if err == nil && !reply.Known {
		return errors.New("answer without contents")
	}
	return err
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	pool, addr, raws, _ := start(t)
	assert.NilError(t, leadOf(pool, answeredTimeout, addr, 9))
	blackhole(*raws)
	assert.Assert(t, errors.Is(leadOf(pool, unansweredTimeout, addr, 9), ErrUnreachable))
	assert.NilError(t, leadOf(pool, answeredTimeout, addr, 9))
	assert.Equal(t, len(*raws), 2)
}

func TestSlowCallKeepsAConnectionThatAnswersOthers(t *testing.T) {
	pool, addr, raws, server := start(t)
	defer close(server.release)
	assert.NilError(t, leadOf(pool, answeredTimeout, addr, 9))
	ended := make(chan error, 1)
	go func() { ended <- leadOf(pool, unansweredTimeout, addr, slowSession) }()
	for waiting := true; waiting; {
		select {
		case err := <-ended:
			assert.Assert(t, errors.Is(err, ErrUnreachable))
			waiting = false
		default:
			assert.NilError(t, leadOf(pool, answeredTimeout, addr, 9))
		}
	}
	assert.Equal(t, len(*raws), 1)
}

func TestErrorsOfCalls(t *testing.T) {
	pool, addr, raws, _ := start(t)
	refused := leadOf(pool, answeredTimeout, addr, failingSession)
	assert.ErrorContains(t, refused, "refused by the peer")
	assert.Assert(t, !errors.Is(refused, ErrUnreachable), "the peer has answered")
	assert.NilError(t, leadOf(pool, answeredTimeout, addr, 9))
	assert.Equal(t, len(*raws), 1, "a refusal keeps the connection")
	(*raws)[0].Conn.Close()
	assert.Assert(t, errors.Is(leadOf(pool, answeredTimeout, addr, 9), ErrUnreachable))
	assert.NilError(t, leadOf(pool, answeredTimeout, addr, 9))
}

func TestPeersThatCannotBeCalled(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer mute.Close()
	for name, addr := range map[string]string{
		"nobody listens":  closed.Listener.Addr().String(),
		"another service": other.Listener.Addr().String(),
		"no handshake":    mute.Addr().String(),
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool((&net.Dialer{}).DialContext)
			defer pool.Close()
			assert.Assert(t, errors.Is(leadOf(pool, unansweredTimeout, addr, 9), ErrUnreachable))
			assert.Equal(t, len(pool.conns), 0)
		})
	}
}

func TestConcurrentCallsShareAConnection(t *testing.T) {
	pool, addr, raws, _ := start(t)
	var calls sync.WaitGroup
	for range 50 {
		calls.Go(func() { assert.Check(t, leadOf(pool, answeredTimeout, addr, 9)) })
	}
	calls.Wait()
	assert.Equal(t, len(pool.conns), 1)
	assert.Assert(t, len(*raws) >= 1)
}
