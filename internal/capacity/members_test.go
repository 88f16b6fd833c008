package capacity

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/peer"
)

// hostList is a list of hosts none of which can be reached.
type hostList struct {
	entries []logservice.HostEntry
}

func (l hostList) List(context.Context) (logservice.HostList, error) {
	return logservice.HostList{Hosts: l.entries}, nil
}

func (hostList) Announce(context.Context, logservice.HostEntry) error { return nil }

func (hostList) Withdraw(context.Context, string) error { return nil }

func unreachable(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("unreachable")
}

// BenchmarkLive lists the live hosts, as a host does for every request without a key.
func BenchmarkLive(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			all := knownHosts(b, count)
			for b.Loop() {
				all.Live()
			}
		})
	}
}

// knownHosts returns a list that holds the number of hosts.
func knownHosts(b *testing.B, count int) *members.Members {
	b.Helper()
	var list hostList
	for _, host := range benchHosts(count) {
		list.entries = append(list.entries, host.HostEntry)
	}
	all := members.New(list.entries[0], list, peer.NewPool(unreachable), nil)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		all.Run(ctx)
	}()
	for deadline := time.Now().Add(10 * time.Second); len(all.All()) < count; {
		assert.Assert(b, time.Now().Before(deadline), "hosts are not listed")
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	return all
}
