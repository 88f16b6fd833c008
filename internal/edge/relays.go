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

// relayOrder returns the hosts of this host's zone in the order in which they become relays,
// which read topics for the others, and this host's position in it. Hosts with more capacity come
// first. The leader comes last because it has the most work. A host that is not in the plan gets
// position 0, so that it reads the topics itself.
func relayOrder(plan assign.Plan, self assign.Host) ([]relay.Host, int) {
	var zone []assign.Host
	for _, host := range plan.Hosts {
		if host.Zone == self.Zone && !host.Retired {
			zone = append(zone, host)
		}
	}
	slices.SortFunc(zone, func(a, b assign.Host) int {
		return cmp.Or(
			falseFirst(a.SameIncarnation(plan.Leader), b.SameIncarnation(plan.Leader)),
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
		)
	})
	hosts := make([]relay.Host, 0, len(zone))
	position := 0
	for i, host := range zone {
		if host.Name == self.Name {
			position = i
		}
		hosts = append(hosts, relay.Host{Name: host.Name, Addr: host.Addr})
	}
	return hosts, position
}

// otherRelays returns the hosts of other zones in the order in which this host queries them if no host
// of its own zone can answer: the relay of each zone first, since it reads the topics anyway.
func otherRelays(plan assign.Plan, self assign.Host) []relay.Host {
	var zones []string
	for _, host := range plan.Hosts {
		if host.Zone != self.Zone && !slices.Contains(zones, host.Zone) {
			zones = append(zones, host.Zone)
		}
	}
	slices.Sort(zones)
	byZone := make([][]relay.Host, len(zones))
	longest := 0
	for i, zone := range zones {
		byZone[i], _ = relayOrder(plan, assign.Host{Zone: zone})
		longest = max(longest, len(byZone[i]))
	}
	var ordered []relay.Host
	for rank := range longest {
		for _, hosts := range byZone {
			if rank < len(hosts) {
				ordered = append(ordered, hosts[rank])
			}
		}
	}
	return ordered
}

// falseFirst compares two booleans so that false sorts before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// entryFilter drops records of the service discovery that only repeat the previous one of the
// same server, as most do. It is not safe for concurrent use; the relay calls it with
// its lock held.
type entryFilter struct {
	platform Platform
	// lastEntries holds the last entry of each key, without its sequence number.
	lastEntries map[string]fleet.Entry
}

func newEntryFilter(platform Platform) *entryFilter {
	return &entryFilter{platform: platform, lastEntries: make(map[string]fleet.Entry)}
}

// keep reports whether the record differs from the previous one of its key in more than the
// sequence number. Removals and malformed records are always kept.
func (f *entryFilter) keep(record follow.Record) bool {
	if len(record.Value) == 0 {
		delete(f.lastEntries, record.Key)
		return true
	}
	entry, err := f.platform.DecodeServer(record)
	if err != nil {
		delete(f.lastEntries, record.Key)
		return true
	}
	entry.Sequence = 0
	previous, ok := f.lastEntries[record.Key]
	f.lastEntries[record.Key] = entry
	return !ok || previous != entry
}
