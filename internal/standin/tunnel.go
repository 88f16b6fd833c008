package standin

import (
	"net"
	"sync"
)

// tunnelBufferBytes is the size of the buffer of one direction of a tunnel.
const tunnelBufferBytes = 32 << 10

// tunnel is one connection through an egress proxy.
type tunnel struct {
	egress     *Egress
	addr       string
	downstream net.Conn
	upstream   net.Conn
	// silent is guarded by the egress proxy's lock.
	silent bool

	closeOnce sync.Once
	closed    chan struct{}
}

// close closes both sides.
func (t *tunnel) close() {
	t.closeOnce.Do(func() {
		close(t.closed)
		t.downstream.Close()
		t.upstream.Close()
	})
}

// relay copies both directions until one of them ends.
func (t *tunnel) relay() {
	var group sync.WaitGroup
	group.Go(func() { t.copy(t.upstream, t.downstream) })
	group.Go(func() { t.copy(t.downstream, t.upstream) })
	group.Wait()
}

// copy copies from src to dst while the rules let bytes pass. It closes the
// tunnel at the end, but not while the tunnel is stalled or silent: the end of
// a connection does not pass either.
func (t *tunnel) copy(dst, src net.Conn) {
	defer t.close()
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := src.Read(buffer)
		if !t.pass() {
			return
		}
		t.egress.count(t.addr, n)
		if _, writeErr := dst.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// pass waits until bytes may pass. It reports false where the tunnel is closed.
func (t *tunnel) pass() bool {
	for {
		t.egress.mu.Lock()
		f, silent, changed := t.egress.fateOf(t.addr), t.silent, t.egress.changed
		t.egress.mu.Unlock()
		if f == fateCut {
			return false
		}
		if f == fatePass && !silent {
			return true
		}
		select {
		case <-changed:
		case <-t.closed:
			return false
		}
	}
}
