package reach

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
)

// network is a simulated network between a host and the servers of three zones.
type network struct {
	mu sync.Mutex
	// reached says which zones are reached. silent says that the others do not answer; otherwise they refuse.
	reached map[string]bool
	silent  bool
	dials   int
}

func (n *network) set(silent bool, zones ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = silent
	n.reached = make(map[string]bool)
	for _, zone := range zones {
		n.reached[zone] = true
	}
}

// dial implements transport.DialFunc. An address is a zone and a number.
func (n *network) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	reached, silent := n.reached[addr[:1]], n.silent
	n.mu.Unlock()
	switch {
	case reached:
		conn, _ := net.Pipe()
		return conn, nil
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, syscall.ECONNREFUSED
}

// monitored runs a Monitor in zone a with four servers in each of three zones.
func monitored(t *testing.T, test func(t *testing.T, n *network, m *Monitor, changes *int)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		n.set(false, "a", "b", "c")
		started, changes := time.Now().Add(-time.Hour), 0
		m := New(Config{
			Zone: "a", Dial: n.dial, OnChange: func() { changes++ },
			Servers: func() (servers []Server) {
				for i := range 12 {
					zone := string(rune('a' + i%3))
					servers = append(servers, Server{Addr: fmt.Sprint(zone, i), Zone: zone})
				}
				return servers
			},
			Clock: func() time.Duration { return time.Since(started) }, Log: eventlog.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		test(t, n, m, &changes)
		cancel()
		synctest.Wait()
	})
}

// TestHostThatReachesNoServerIsCutOff checks that a host whose connections to all servers fail finds out within a
// second, and as soon that the cut is over.
func TestHostThatReachesNoServerIsCutOff(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			monitored(t, func(t *testing.T, n *network, m *Monitor, changes *int) {
				time.Sleep(time.Second)
				n.set(silent)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := m.DialContext(ctx, "tcp", "b1")
				assert.Assert(t, err != nil)
				time.Sleep(time.Second)
				assert.Assert(t, m.CutOff())
				time.Sleep(10 * time.Second)
				assert.Assert(t, m.CutOff())
				n.set(silent, "a", "b", "c")
				time.Sleep(time.Second)
				assert.Assert(t, !m.CutOff())
				synctest.Wait()
				assert.Equal(t, *changes, 2)
			})
		})
	}
}

// TestHostThatReachesAZoneIsNotCutOff checks that neither one server that is down nor all of two zones make a host
// believe that it is cut off.
func TestHostThatReachesAZoneIsNotCutOff(t *testing.T) {
	for _, zone := range []string{"a", "c"} {
		monitored(t, func(t *testing.T, n *network, m *Monitor, changes *int) {
			n.set(true, zone)
			for range 20 {
				m.Suspect()
				time.Sleep(time.Second)
				assert.Assert(t, !m.CutOff(), "zone %s is reached", zone)
			}
			synctest.Wait()
			assert.Equal(t, *changes, 0)
		})
	}
}

// TestChecksAreFew checks that a storm of failures to a host that reaches servers costs few connections.
func TestChecksAreFew(t *testing.T) {
	monitored(t, func(t *testing.T, n *network, m *Monitor, _ *int) {
		for range 1000 {
			m.Suspect()
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		assert.Assert(t, n.dials <= serversPerZone*int(time.Second/checkInterval+1), "%d connections", n.dials)
	})
}

// TestServersOfOneZoneAreDrawnInNumber checks that a round tries more than serversPerZone servers where there is only one zone.
func TestServersOfOneZoneAreDrawnInNumber(t *testing.T) {
	m := New(Config{Zone: "a", Clock: func() time.Duration { return 0 }, Servers: func() (servers []Server) {
		for i := range 20 {
			servers = append(servers, Server{Addr: fmt.Sprint("a", i), Zone: "a"})
		}
		return servers
	}})
	assert.Equal(t, len(m.draw()), maxServers)
}

// TestFrozenHostIsNotCutOff checks that connections that failed only because the host stood still prove nothing.
func TestFrozenHostIsNotCutOff(t *testing.T) {
	started := time.Now()
	frozen := 0
	m := New(Config{
		Zone: "a", Servers: func() []Server { return []Server{{Addr: "a1", Zone: "a"}} }, Log: eventlog.Discard(),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			frozen++
			return nil, context.DeadlineExceeded
		},
		OnChange: func() { t.Error("the host counts as cut off") },
		Clock:    func() time.Duration { return time.Since(started) + time.Duration(frozen)*3*time.Second },
	})
	m.check(t.Context())
	assert.Equal(t, frozen, rounds)
	assert.Assert(t, !m.CutOff())
}
