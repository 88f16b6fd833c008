package edge

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/relay"
)

// relayOrder returns the hosts of this host's zone in the order in which they read for the others, and
// this host's place among them: the larger ones first, and the leader, which has the
// most to do, last.
func relayOrder(plan assign.Plan, self assign.Host) ([]relay.Host, int) {
	var zone []assign.Host
	for _, host := range plan.Hosts {
		if host.Zone == self.Zone && !host.Retired {
			zone = append(zone, host)
		}
	}
	slices.SortFunc(zone, func(a, b assign.Host) int {
		return cmp.Or(
			last(a.Same(plan.Leader), b.Same(plan.Leader)),
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
		)
	})
	hosts := make([]relay.Host, 0, len(zone))
	place := 0
	for i, host := range zone {
		if host.Name == self.Name {
			place = i
		}
		hosts = append(hosts, relay.Host{Name: host.Name, Addr: host.Addr})
	}
	return hosts, place
}

// last compares two truths, the false one first.
func last(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// entryFilter tells which entries of the service discovery say something new. Most only
// repeat what is known. The lock of the relay guards it.
type entryFilter struct {
	platform Platform
	known    map[string]fleet.Entry
}

func newEntryFilter(platform Platform) *entryFilter {
	return &entryFilter{platform: platform, known: make(map[string]fleet.Entry)}
}

// keep reports whether the record differs from the last one of its key in more than its sequence.
func (f *entryFilter) keep(record follow.Record) bool {
	if len(record.Value) == 0 {
		delete(f.known, record.Key)
		return true
	}
	entry, err := f.platform.Server(record)
	if err != nil {
		delete(f.known, record.Key)
		return true
	}
	entry.Sequence = 0
	known, ok := f.known[record.Key]
	f.known[record.Key] = entry
	return !ok || known != entry
}
