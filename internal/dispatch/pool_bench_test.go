package dispatch

import (
	"testing"
	"time"
)

// BenchmarkPoolUnderOverload measures one request of a pool of 64 servers while 300 requests wait.
func BenchmarkPoolUnderOverload(b *testing.B) {
	p := NewPool(-time.Hour)
	var list []PoolServer
	for i := range 64 {
		list = append(list, PoolServer{ID: string(rune('A' + i)), Slots: 2})
	}
	p.SetServers(list, 0)
	now := time.Duration(0)
	var admitted []Ticket
	take := func(decisions []PoolDecision) {
		for _, d := range decisions {
			if d.Admitted {
				admitted = append(admitted, d.Ticket)
			}
		}
	}
	offer := func() {
		_, decisions := p.Offer(poolItem(int(now)%3, now+time.Second, now+time.Hour), now)
		take(decisions)
	}
	for range 428 {
		offer()
	}
	for b.Loop() {
		now += 2 * ms
		offer()
		ticket := admitted[0]
		admitted = admitted[1:]
		take(p.Finish(ticket, PoolAnswered, 100*ms, now))
	}
}
