package standin

import (
	"net"
	"sync"
)

// tunnelBufferBytes is the buffer size for one direction of a tunnel.
const tunnelBufferBytes = 32 << 10

// tunnel is one connection through an egress proxy.
type tunnel struct {
	egress     *Egress
	addr       string
	downstream net.Conn
	upstream   net.Conn
	// silenced says that the tunnel passes no more data. It is guarded by egress.mu.
	silenced bool

	closeOnce sync.Once
	closed    chan struct{}
}

// close closes both connections.
func (t *tunnel) close() {
	t.closeOnce.Do(func() {
		close(t.closed)
		t.downstream.Close()
		t.upstream.Close()
	})
}

// copyBoth copies data in both directions until one side closes.
func (t *tunnel) copyBoth() {
	var group sync.WaitGroup
	group.Go(func() { t.copy(t.upstream, t.downstream) })
	group.Go(func() { t.copy(t.downstream, t.upstream) })
	group.Wait()
}

// copy copies data from src to dst and closes the tunnel when one of them fails or
// ends. While the tunnel is stalled or silenced it stays open even if src has
// closed, because a partitioned peer does not see a close either.
func (t *tunnel) copy(dst, src net.Conn) {
	defer t.close()
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := src.Read(buffer)
		if !t.waitToPass() {
			return
		}
		t.egress.addTraffic(t.addr, n)
		if _, writeErr := dst.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// waitToPass waits until the tunnel may pass data. It returns false if the
// tunnel is cut or closed.
func (t *tunnel) waitToPass() bool {
	for {
		t.egress.mu.Lock()
		action, silenced, changed := t.egress.actionFor(t.addr), t.silenced, t.egress.changed
		t.egress.mu.Unlock()
		if action == actionCut {
			return false
		}
		if action == actionPass && !silenced {
			return true
		}
		select {
		case <-changed:
		case <-t.closed:
			return false
		}
	}
}
