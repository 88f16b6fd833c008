package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// returnGrace is how long after an outage of the service discovery a missing entry is not yet
// taken for a server that is gone: entries that lapsed meanwhile come back.
const returnGrace = 2200 * time.Millisecond

// lapseWindow is how long after an outage a removed entry may be one that lapsed in the
// outage. Later ones are removed because their servers have gone.
const lapseWindow = 250 * time.Millisecond

// servers follows the service discovery. It belongs to one goroutine.
type servers struct {
	platform Platform
	fleet    *fleet.Fleet
	clock    func() time.Duration
	log      *eventlog.Log
	changed  func()
	// ended is told of lives of servers that are over.
	ended func(entry fleet.Entry)

	entries map[string]fleet.Entry
	// missing holds the entries that may come back, with the time at which they count as gone.
	missing map[string]time.Duration
	// down says that the last read failed; regained is when reads worked again.
	down     bool
	regained time.Duration
}

func newServers(platform Platform, f *fleet.Fleet, clock func() time.Duration, log *eventlog.Log, changed func()) *servers {
	return &servers{
		platform: platform, fleet: f, clock: clock, log: log, changed: changed,
		ended:    func(fleet.Entry) {},
		entries:  make(map[string]fleet.Entry),
		missing:  make(map[string]time.Duration),
		regained: -returnGrace,
	}
}

// read takes over what has changed.
func (s *servers) read(ctx context.Context, follower *follow.Follower) error {
	change, err := follower.Read(ctx, 0)
	now := s.clock()
	if err != nil {
		if !s.down {
			s.log.Event("dependency", "name", "service discovery", "outcome", "lost", "err", err.Error())
		}
		s.down = true
		return err
	}
	if s.down {
		s.down = false
		s.regained = now
		s.log.Event("dependency", "name", "service discovery", "outcome", "regained")
	}
	s.apply(change, now)
	return nil
}

func (s *servers) apply(change follow.Change, now time.Duration) {
	if len(change.Records) == 0 && !change.Whole && len(s.missing) == 0 {
		return
	}
	present := make(map[string]bool, len(change.Records))
	for _, record := range change.Records {
		present[record.Key] = true
		if len(record.Value) == 0 {
			s.miss(record.Key, now)
			continue
		}
		s.take(record)
	}
	if change.Whole {
		for key := range s.entries {
			if !present[key] {
				s.miss(key, now)
			}
		}
	}
	s.drop(now)
	entries := make([]fleet.Entry, 0, len(s.entries))
	for key, entry := range s.entries {
		_, entry.Missing = s.missing[key]
		entries = append(entries, entry)
	}
	s.fleet.Set(entries, now)
	s.changed()
}

// take takes one entry. One that cannot be read names no server to use.
func (s *servers) take(record follow.Record) {
	entry, err := s.platform.Server(record)
	if err != nil {
		s.log.Event("server", "id", record.Key, "outcome", "rejected", "err", err.Error())
		delete(s.entries, record.Key)
		delete(s.missing, record.Key)
		return
	}
	known, ok := s.entries[record.Key]
	if !ok || !known.SameLife(entry) || known.Draining != entry.Draining {
		s.log.Event("server", "id", record.Key, "service", entry.Service, "zone", entry.Zone, "addr", entry.Addr,
			"draining", entry.Draining, "cold_ms", entry.ColdFor.Milliseconds(), "born", entry.Born, "offset", record.Offset)
	}
	s.noteEnded(record.Key, entry)
	s.entries[record.Key] = entry
	delete(s.missing, record.Key)
}

// noteEnded tells of the lives that a new entry shows to be over: the former one under its
// key, and any that began earlier at its address.
func (s *servers) noteEnded(key string, entry fleet.Entry) {
	if known, ok := s.entries[key]; ok && known.SameLife(entry) {
		return
	}
	for _, known := range s.entries {
		if (known.ID == entry.ID || known.Addr == entry.Addr) && known.Born < entry.Born {
			s.ended(known)
		}
	}
}

// miss notes that an entry is gone.
func (s *servers) miss(key string, now time.Duration) {
	if _, known := s.entries[key]; !known {
		return
	}
	if _, noted := s.missing[key]; noted {
		return
	}
	s.missing[key] = now
	if now-s.regained <= lapseWindow {
		s.missing[key] = s.regained + returnGrace
	}
}

// drop forgets the entries that count as gone.
func (s *servers) drop(now time.Duration) {
	for key, at := range s.missing {
		if now >= at {
			s.log.Event("server", "id", key, "outcome", "gone")
			s.ended(s.entries[key])
			delete(s.missing, key)
			delete(s.entries, key)
		}
	}
}
