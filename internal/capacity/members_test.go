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

// hostList is a constant host list of the platform.
type hostList struct {
	entries []logservice.HostEntry
}

func (l hostList) List(context.Context) (logservice.HostList, error) {
	return logservice.HostList{Hosts: l.entries}, nil
}

func (hostList) Announce(context.Context, logservice.HostEntry) error { return nil }

func (hostList) Withdraw(context.Context, string) error { return nil }

// unreachable is the dial function of a network in which no host can be reached.
func unreachable(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("unreachable")
}

// BenchmarkLive lists the live hosts, as a host does for every request without a key, with a growing number of known hosts.
func BenchmarkLive(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			known := newMembers(b, count)
			for b.Loop() {
				known.Live()
			}
		})
	}
}

// newMembers returns a membership list that has read the given number of hosts from the platform's list.
func newMembers(b *testing.B, count int) *members.Members {
	b.Helper()
	var list hostList
	for _, host := range benchHosts(count) {
		list.entries = append(list.entries, host.HostEntry)
	}
	known := members.New(list.entries[0], list, peer.NewPool(unreachable), nil)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		known.Run(ctx)
	}()
	for deadline := time.Now().Add(10 * time.Second); len(known.All()) < count; {
		assert.Assert(b, time.Now().Before(deadline), "not all listed hosts are known after 10s")
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	return known
}
