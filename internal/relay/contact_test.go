package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
)

// TestHostThatThePlatformTurnsAwayAsksOthers is a regression test (CONFIG): a relay, a leader, or a
// zone whose hosts are all turned away by the platform, which serves the other hosts, learned of a
// new configuration only when the platform served it again, 10 s later.
func TestHostThatThePlatformTurnsAwayAsksOthers(t *testing.T) {
	for name, partitioned := range map[string]int{"relay": 1, "leader": 1, "all hosts of the zone": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newTestZone(3, nil)
				outside := &testHost{zone: z, name: "outside"}
				outside.relay = New(Config{
					Hosts: func() ([]Host, int) { return []Host{{Name: outside.name}}, 0 }, Others: func() []Host { return nil },
					MustReadDirectly: func(Topic) bool { return false }, Ask: outside.ask, Clock: z.now, Log: eventlog.Discard(),
				})
				outside.source = outside.relay.Source("servers", outside, Options{MinInterval: func() time.Duration { return time.Second }})
				z.hosts = append(z.hosts, outside)
				z.others = []Host{{Name: outside.name}}
				z.hosts[0].leads = name == "leader"
				z.withFollowers(t, func() {
					for _, h := range z.hosts[:partitioned] {
						z.set(true, &h.partitioned)
					}
					z.append("1")
					time.Sleep(3500 * time.Millisecond)
					z.append("2")
					time.Sleep(1800 * time.Millisecond)
					for _, h := range z.hosts {
						_, next := h.takeReadCount()
						assert.Equal(t, next, uint64(2), h.name)
					}
				})
			})
		})
	}
}

// TestHostsAskFewOthersWhileThePlatformIsAway checks that a host does not query all others, again and
// again, while the platform answers nobody.
func TestHostsAskFewOthersWhileThePlatformIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(20, nil)
		z.withFollowers(t, func() {
			for _, h := range z.hosts {
				z.set(true, &h.partitioned)
			}
			time.Sleep(6 * time.Second)
			served := int64(0)
			for _, h := range z.hosts {
				served -= h.relay.Counters.Served.Value()
			}
			time.Sleep(30 * time.Second)
			for _, h := range z.hosts {
				served += h.relay.Counters.Served.Value()
			}
			assert.Assert(t, served <= 20*maxAvoided*11, "%d queries of 20 hosts in 30 s", served)
		})
	})
}

// TestContactWithASlowPlatformIsRegained checks that a host that has lost contact finds out that the
// platform answers again, also if each answer takes long.
func TestContactWithASlowPlatformIsRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newTestZone(1, nil)
		h := z.hosts[0]
		z.withFollowers(t, func() {
			z.set(true, &h.partitioned)
			time.Sleep(5 * time.Second)
			assert.Assert(t, h.relay.hasLostContact("servers"))
			z.set(false, &h.partitioned)
			z.set(true, &h.slow)
			z.append("1")
			time.Sleep(5 * time.Second)
			assert.Assert(t, !h.relay.hasLostContact("servers"))
			_, next := h.takeReadCount()
			assert.Equal(t, next, uint64(1))
		})
	})
}
