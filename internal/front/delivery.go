package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/socket"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// callerStall is how long a caller may read nothing of an answer before its connection is closed.
	callerStall = 5 * time.Second
	// hostStall is callerStall for a host that forwarded the request. It is longer, so that the host that knows the caller
	// decides first.
	hostStall = 7 * time.Second
	// writeBytes is the size of one write to a caller. It is small, so that a write in which a slow caller reads nothing
	// can be told from one that takes long.
	writeBytes = 16 << 10
	// sendBufferBytes is the kernel's send buffer of a connection on which a large answer is passed on. Linux doubles the
	// value. By default it grows to some MB, which a slow reader would hold.
	sendBufferBytes = 64 << 10
)

// errCallerStalled reports that the caller has read nothing for callerStall, or has gone.
var errCallerStalled = errors.New("the caller does not take the answer")

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext stores a connection in the context of its requests. It is the ConnContext of the HTTP servers for callers
// and hosts.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// delivery writes the answer to one request to its caller, which may be another host. A large answer is written while it
// arrives; then the caller has a part of it, and no other answer can follow. It is used by one goroutine.
type delivery struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// conn is the caller's connection, or nil if it is not known.
	conn net.Conn
	// stall is how long the caller may read nothing; zero sets no limit.
	stall time.Duration
	// chunks says that the caller understands chunked encoding. Without it the end of an answer without a length is the
	// end of the connection, which would make one that breaks off look complete.
	chunks bool
	meter  *linkMeter
	// use is the answer's use of the link, or nil.
	use *linkUse

	// begun says that a part of an answer may have been written.
	begun bool
	// status is the status of the answer that was begun.
	status int
	// blocked is the time spent in writes. failed says that a write failed, and slow that one took long.
	blocked      time.Duration
	failed, slow bool
}

// newDelivery returns the delivery of the answer to a request.
func (in *Ingress) newDelivery(w http.ResponseWriter, hr *http.Request) *delivery {
	conn, _ := hr.Context().Value(connKey{}).(net.Conn)
	return &delivery{
		writer: w, controller: http.NewResponseController(w), conn: conn, chunks: hr.ProtoAtLeast(1, 1), meter: &in.link,
	}
}

// callerHasLeft reports whether the caller has closed its connection. The HTTP library notices that only once the request is being
// handled: one that has waited in the kernel for a processor may be that of a caller that has left long ago.
func (d *delivery) callerHasLeft() bool {
	conn, ok := d.conn.(syscall.Conn)
	return ok && socket.ClosedByPeer(conn)
}

// hasBegun reports whether a part of an answer may have been written. A nil delivery has not begun.
func (d *delivery) hasBegun() bool {
	return d != nil && d.begun
}

// byCaller reports whether an answer may have broken off because the caller did not take it: a server ends an answer
// that nobody reads for some seconds.
func (d *delivery) byCaller() bool {
	return d != nil && (d.failed || d.slow)
}

// brokenResult returns the result of a request of whose answer the caller has a part.
func (d *delivery) brokenResult() Result {
	if d.failed {
		return unknown(reasonNotTaken)
	}
	return unknown(reasonBrokeOff)
}

// blockedFor returns the time that was spent in writes.
func (d *delivery) blockedFor() time.Duration {
	if d == nil {
		return 0
	}
	return d.blocked
}

// pass writes an answer whose first part is in answer.Body and whose rest is read with the given buffer. An error says
// that the caller has an incomplete answer; its connection must then be ended abnormally.
func (d *delivery) pass(ctx context.Context, answer *Answer, rest io.Reader, length int64, buffer []byte) error {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		d.controller.SetWriteDeadline(time.Unix(1, 0))
	})
	defer func() {
		if !stop() {
			<-ended
		}
	}()
	d.begin(answer, length)
	if err := d.write(ctx, answer.Body); err != nil {
		return err
	}
	for {
		n, err := rest.Read(buffer)
		if writeErr := d.write(ctx, buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return d.flush(ctx)
		}
		if err != nil {
			return err
		}
	}
}

// begin writes the header of a large answer.
func (d *delivery) begin(answer *Answer, length int64) {
	d.begun = true
	d.status = answer.Status
	d.limitSendBuffer()
	header := d.writer.Header()
	for name, values := range transport.EndToEnd(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		d.use.expect(length)
	} else {
		header.Del("Content-Length")
	}
	d.writer.WriteHeader(answer.Status)
}

// limitSendBuffer makes the kernel's send buffer small, so that it does not fill with what a slow caller does not read, and
// so that each part that the caller reads shows as progress.
func (d *delivery) limitSendBuffer() {
	if conn, ok := d.conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		// A failure leaves the kernel's default.
		conn.SetWriteBuffer(sendBufferBytes)
	}
}

// write writes bytes in small parts, each of which the caller has to take within the limit.
func (d *delivery) write(ctx context.Context, p []byte) error {
	for len(p) > 0 {
		part := p[:min(len(p), writeBytes)]
		p = p[len(part):]
		if err := d.timed(ctx, func() error { _, err := d.writer.Write(part); return err }, len(part)); err != nil {
			return err
		}
	}
	return nil
}

// flush writes what the HTTP library has buffered.
func (d *delivery) flush(ctx context.Context) error {
	return d.timed(ctx, d.controller.Flush, 0)
}

// timed runs one write of n bytes within the limit for the caller.
func (d *delivery) timed(ctx context.Context, write func() error, n int) error {
	started := time.Now()
	if d.stall > 0 {
		d.controller.SetWriteDeadline(started.Add(d.stall))
	}
	// The context may have ended before the deadline was set, which replaced the one that ends the write.
	if err := ctx.Err(); err != nil {
		return err
	}
	d.use.beginWrite()
	err := write()
	took := time.Since(started)
	d.blocked += took
	if err != nil {
		n = 0
	}
	d.use.endWrite(n)
	d.failed = d.failed || err != nil
	d.slow = d.slow || took >= stalledAfter
	if err != nil {
		return errors.Mark(err, errCallerStalled)
	}
	return nil
}

// writeHeld passes a complete answer on and returns its status.
func (d *delivery) writeHeld(answer *Answer, isHead bool) int {
	header := d.writer.Header()
	for name, values := range transport.EndToEnd(answer.Header) {
		header[name] = values
	}
	// Answers to HEAD requests and those with certain statuses have no body, but may have the length of one.
	if len(answer.Body) > 0 || header.Get("Content-Length") == "" && !isHead && bodyAllowed(answer.Status) {
		setLength(header, len(answer.Body))
	}
	d.writer.WriteHeader(answer.Status)
	if d.stall <= 0 {
		d.writer.Write(answer.Body)
		d.meter.wrote(len(answer.Body))
		return answer.Status
	}
	if len(answer.Body) > sendBufferBytes {
		d.limitSendBuffer()
	}
	// An answer that came at the last moment is written also after the request's context has ended.
	if d.write(context.Background(), answer.Body) != nil {
		return answer.Status
	}
	if d.use == nil {
		d.meter.wrote(len(answer.Body))
	}
	return answer.Status
}

// bodyAllowed reports whether answers with the status have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
