package standin

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// crowdDialTimeout and crowdPause are the timeout of a connection of a crowd, and the pause after one that failed.
	crowdDialTimeout = time.Second
	crowdPause       = 10 * time.Millisecond
)

// StartCrowd lets the given number of clients connect to an address, and again whenever client returns, until the returned function is
// called. That closes all connections and waits for the clients.
func StartCrowd(addr string, clients int, client func(conn net.Conn)) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for !isClosed(done) {
				conn, err := net.DialTimeout("tcp", addr, crowdDialTimeout)
				if err != nil {
					time.Sleep(crowdPause)
					continue
				}
				ended := make(chan struct{})
				go func() {
					select {
					case <-done:
					case <-ended:
					}
					conn.Close()
				}()
				client(conn)
				close(ended)
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// isClosed reports whether a channel that nobody sends to is closed.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

var peakMemoryLine = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// PeakMemoryMB returns the largest memory of a process so far in MB. It fails if the process has ended.
func PeakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	line := peakMemoryLine.FindSubmatch(status)
	if line == nil {
		return 0, errors.Newf("process %d has ended", pid)
	}
	kb, err := strconv.Atoi(string(line[1]))
	return kb / 1024, err
}
