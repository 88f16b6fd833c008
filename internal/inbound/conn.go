package inbound

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lineCost is the memory of a line of a header in bytes beside its text, parsed, copied and passed on.
	lineCost = 512
	// textCopies is the number of copies of the text of a head.
	textCopies = 2
	// readSlack is the number of bytes beyond the head that the HTTP library may read with it.
	readSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read of a connection after a refusal.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
)

// Answers to requests that have not been read completely, and so have not run.
const (
	answerHeadTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerNoMemory     = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

var (
	errHeadTooLarge = errors.New("inbound: the head of the request is too large")
	errNoMemory     = errors.New("inbound: there is no memory for the head of the request")
)

// Conn is a connection that a Guard has accepted.
type Conn struct {
	*net.TCPConn
	guard *Guard
	// receivingHead is set while no complete head of a request has arrived since the last answer. headBegun says that bytes of one
	// have, and headSince is when the first of them came, as returned by monotonic.
	receivingHead, headBegun atomic.Bool
	headSince                atomic.Int64
	// bytes and lines count what has arrived of the head. The goroutine that reads the connection uses them.
	bytes, lines int
	// held is the part of the guard's headMemory that the present request takes.
	held atomic.Int64

	// The guard's lock guards the fields below.
	// since is when the connection was accepted or its last request was answered, as returned by monotonic. element is its place in
	// the guard's list, and removed says that the guard no longer counts the connection.
	since   time.Duration
	element *list.Element
	removed bool
}

// Read implements io.Reader. It counts what arrives of a head, and ends the connection if that exceeds a limit.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || !c.receivingHead.Load() {
		return n, err
	}
	if !c.headBegun.Load() {
		c.headSince.Store(int64(monotonic()))
		c.headBegun.Store(true)
		c.bytes, c.lines = 0, 0
	}
	part := beforeEnd(p[:n])
	c.bytes += len(part)
	c.lines += bytes.Count(part, []byte{'\n'})
	if limit := c.guard.config.Limits().HeadBytes; limit > 0 && c.bytes > limit+readSlack {
		c.guard.counters.largeHeads.Add(1)
		return 0, c.refuse(answerHeadTooLarge, errHeadTooLarge)
	}
	if !c.hold(headCost(c.bytes, c.lines)) {
		c.guard.counters.noMemory.Add(1)
		return 0, c.refuse(answerNoMemory, errNoMemory)
	}
	return n, err
}

// beforeEnd returns the part of what has arrived that belongs to a head, if its end is in it. A head whose end is divided between two
// reads counts with what follows until Handler knows it.
func beforeEnd(arrived []byte) []byte {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(arrived, []byte(end)); i >= 0 {
			arrived = arrived[:i+len(end)]
		}
	}
	return arrived
}

// refuse writes an answer and returns an error with which the HTTP library ends the connection without another answer. It reads on for a
// short time: the connection would be reset if it were closed with unread bytes, and the answer might get lost.
func (c *Conn) refuse(answer string, reason error) error {
	err := &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: reason}
	c.TCPConn.SetDeadline(time.Now().Add(lingerTime))
	if _, writeErr := io.WriteString(c.TCPConn, answer); writeErr != nil {
		return err
	}
	if closeErr := c.TCPConn.CloseWrite(); closeErr != nil {
		return err
	}
	// Whatever ends this, the connection ends too.
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	return err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.release()
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.TCPConn.Close()
}

// hold sets the memory that the present head takes. It returns false if the guard does not allow it.
func (c *Conn) hold(cost int64) bool {
	want := max(cost-smallHeadCost, 0)
	held := c.held.Load()
	if !c.guard.takeHeadMemory(held, want-held) {
		return false
	}
	c.held.Store(want)
	return true
}

// release gives back what the present head takes.
func (c *Conn) release() {
	c.guard.headMemory.Add(-c.held.Swap(0))
}

// headCost returns about how much memory a head takes.
func headCost(bytes, lines int) int64 {
	return int64(lines*lineCost + bytes*textCopies)
}

// guarded returns the connection, also if another type embeds it.
func (c *Conn) guarded() *Conn { return c }

// connOf returns the guard's connection behind one of the HTTP server, or nil if there is none.
func connOf(conn net.Conn) *Conn {
	if c, ok := conn.(interface{ guarded() *Conn }); ok {
		return c.guarded()
	}
	return nil
}

type connKey struct{}

// ConnContext stores the connection for Handler. It belongs into the ConnContext of the HTTP server.
func (g *Guard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(conn))
}

// ConnState follows the state of a connection. It belongs into the ConnState of the HTTP server.
func (g *Guard) ConnState(conn net.Conn, state http.ConnState) {
	c := connOf(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.release()
		g.mu.Lock()
		defer g.mu.Unlock()
		if !c.removed {
			g.addWaiting(c)
		}
	case http.StateHijacked:
		c.release()
		c.receivingHead.Store(false)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.remove(c)
	}
}

// Handler returns a handler that refuses heads above the limit, and otherwise calls the given one.
func (g *Guard) Handler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c != nil && !g.beginRequest(c) {
			panic(http.ErrAbortHandler)
		}
		size, lines := headSize(r)
		if limit := g.config.Limits().HeadBytes; limit > 0 && size > limit {
			g.counters.largeHeads.Add(1)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if c != nil && !c.hold(headCost(size, lines)) {
			g.counters.noMemory.Add(1)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// beginRequest notes that a complete head has arrived. It returns false if the guard has closed the connection meanwhile.
func (g *Guard) beginRequest(c *Conn) bool {
	c.receivingHead.Store(false)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeWaiting(c)
	return !c.removed
}

// headSize returns the least size that the head of a request can have had, without white space that has no meaning, and its lines.
func headSize(r *http.Request) (size, lines int) {
	const lineBytes, fieldBytes = len("  HTTP/1.1\r\n\r\n"), len(":\r\n")
	size = len(r.Method) + len(r.RequestURI) + lineBytes + len("Host") + len(r.Host) + fieldBytes
	lines = 2
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return size, lines
}
