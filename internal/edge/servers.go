package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// returnGrace is how long after an outage of the service discovery a missing entry does not yet
// count as gone, because entries that expired during the outage come back.
const returnGrace = 2200 * time.Millisecond

// expiryWindow is how long after an outage a removal may be due to an entry that expired in the
// outage. An entry that is removed later belongs to a server that is gone.
const expiryWindow = 250 * time.Millisecond

// endedRetention is how long a server that is gone is remembered. The log is restored from copies
// that are only seconds old.
const endedRetention = time.Minute

// olderIncarnationGrace is how long an entry of an incarnation that began before the known one does not count. The log may have carried it out
// late; then the known incarnation, which runs, writes its next entry meanwhile. If it does not, the clock of a restarted server has been
// set back.
const olderIncarnationGrace = 3 * time.Second

// servers follows the service discovery and keeps the fleet's entries up to date. It must be
// used by one goroutine only.
type servers struct {
	platform Platform
	fleet    *fleet.Fleet
	clock    func() time.Duration
	log      *eventlog.Log
	onChange func()
	// onEnded is called with the last entry of each incarnation of a server that has ended.
	onEnded func(entry fleet.Entry)
	// onContact is called with false when reading begins to fail, and with true when it succeeds again.
	onContact func(inContact bool)

	// entries holds the newest entry of each key, including the missing ones.
	entries map[string]fleet.Entry
	// missing holds the keys of removed entries that may come back, with the time at which
	// they count as gone.
	missing map[string]time.Duration
	// older holds the records of incarnations that began before the known ones, by key.
	older map[string]olderEntry
	// ended holds the last entry of each key that counts as gone, with the time. A restore of the
	// log can bring it back.
	ended map[string]endedEntry
	// failing says that the last read failed. recoveredAt is the time of the first successful
	// read after the last outage.
	failing     bool
	recoveredAt time.Duration
}

// endedEntry is the last entry of a server that is gone.
type endedEntry struct {
	fleet.Entry
	at time.Duration
}

// olderEntry is the record of an incarnation that began before the known one, and when it was read.
type olderEntry struct {
	record follow.Record
	born   int64
	at     time.Duration
}

func newServers(platform Platform, f *fleet.Fleet, clock func() time.Duration, log *eventlog.Log, onChange func()) *servers {
	return &servers{
		platform: platform, fleet: f, clock: clock, log: log, onChange: onChange,
		onEnded:     func(fleet.Entry) {},
		onContact:   func(bool) {},
		entries:     make(map[string]fleet.Entry),
		missing:     make(map[string]time.Duration),
		older:       make(map[string]olderEntry),
		ended:       make(map[string]endedEntry),
		recoveredAt: -returnGrace,
	}
}

// read reads the topic once and applies the changes.
func (s *servers) read(ctx context.Context, follower *follow.Follower) error {
	change, err := follower.Read(ctx, 0)
	now := s.clock()
	if err != nil {
		if !s.failing {
			s.onContact(false)
			s.log.Event("dependency", "name", "service discovery", "outcome", "lost", "err", err.Error())
		}
		s.failing = true
		return err
	}
	if s.failing {
		s.failing = false
		s.recoveredAt = now
		s.onContact(true)
		s.log.Event("dependency", "name", "service discovery", "outcome", "regained")
	}
	if change.Restored {
		s.recoveredAt = now
		s.log.Event("restored", "topic", "servers", "era", follower.Next().Era.Number(), "next", follower.Next().Offset)
	}
	s.apply(change, now)
	return nil
}

// apply applies a change of the topic and passes all entries on to the fleet.
func (s *servers) apply(change follow.Change, now time.Duration) {
	if len(change.Records) == 0 && !change.Snapshot && len(s.missing) == 0 && len(s.older) == 0 {
		return
	}
	present := make(map[string]bool, len(change.Records))
	for _, record := range change.Records {
		present[record.Key] = true
		if len(record.Value) == 0 {
			delete(s.older, record.Key)
			s.markMissing(record.Key, now)
			continue
		}
		s.applyEntry(record, change.Restored, now)
	}
	s.acceptOlder(now)
	if change.Snapshot {
		for key := range s.entries {
			if !present[key] {
				s.markMissing(key, now)
			}
		}
	}
	s.removeGone(now)
	entries := make([]fleet.Entry, 0, len(s.entries))
	for key, entry := range s.entries {
		_, entry.Missing = s.missing[key]
		entries = append(entries, entry)
	}
	s.fleet.Set(entries, now)
	s.onChange()
}

// applyEntry adds or replaces one entry. A malformed record removes the entry, since it names no
// server that could be used. restored says that the record is in the snapshot of a restored log.
func (s *servers) applyEntry(record follow.Record, restored bool, now time.Duration) {
	entry, err := s.platform.DecodeServer(record)
	if err == nil && s.outdated(record.Key, entry, restored) {
		s.log.Routine("server", "id", record.Key, "born", entry.Born, "sequence", entry.Sequence, "offset", record.Offset, "outcome", "outdated")
		return
	}
	if err != nil {
		s.log.Event("server", "id", record.Key, "outcome", "rejected", "err", err.Error())
		delete(s.older, record.Key)
		delete(s.entries, record.Key)
		delete(s.missing, record.Key)
		return
	}
	if s.isOlderIncarnation(record.Key, entry) {
		s.setAside(record, entry, now)
		return
	}
	delete(s.older, record.Key)
	s.setEntry(record, entry)
}

// isOlderIncarnation reports whether an entry is of an incarnation that began before the one that this host knows last.
func (s *servers) isOlderIncarnation(key string, entry fleet.Entry) bool {
	if known, ok := s.entries[key]; ok {
		return entry.Born < known.Born
	}
	ended, ok := s.ended[key]
	return ok && entry.Born < ended.Born
}

// setAside keeps an entry of an older incarnation. The time of the first one counts.
func (s *servers) setAside(record follow.Record, entry fleet.Entry, now time.Duration) {
	at := now
	if before, ok := s.older[record.Key]; ok && before.born == entry.Born {
		at = before.at
	} else {
		s.log.Event("server", "id", record.Key, "born", entry.Born, "sequence", entry.Sequence, "offset", record.Offset, "outcome", "older incarnation")
	}
	s.older[record.Key] = olderEntry{record, entry.Born, at}
}

// acceptOlder adopts the entries of older incarnations whose servers have written no other for olderIncarnationGrace.
func (s *servers) acceptOlder(now time.Duration) {
	for key, older := range s.older {
		if now-older.at < olderIncarnationGrace {
			continue
		}
		delete(s.older, key)
		if entry, err := s.platform.DecodeServer(older.record); err == nil {
			s.setEntry(older.record, entry)
		}
	}
}

// setEntry adds or replaces an entry.
func (s *servers) setEntry(record follow.Record, entry fleet.Entry) {
	known, ok := s.entries[record.Key]
	if !ok || !known.SameIncarnation(entry) || known.Draining != entry.Draining {
		s.log.Event("server", "id", record.Key, "service", entry.Service, "zone", entry.Zone, "addr", entry.Addr,
			"draining", entry.Draining, "cold_ms", entry.ColdFor.Milliseconds(), "born", entry.Born, "offset", record.Offset)
	}
	s.reportEnded(record.Key, entry)
	s.entries[record.Key] = entry
	delete(s.missing, record.Key)
}

// outdated reports whether this host knows a newer entry of the server. A server numbers the entries
// of an incarnation. The snapshot of a restored log may be older than all that this host has read,
// also the removal of an entry.
func (s *servers) outdated(key string, entry fleet.Entry, restored bool) bool {
	if known, ok := s.entries[key]; ok {
		if known.Born == entry.Born {
			return restored || entry.Sequence < known.Sequence
		}
		return restored && entry.Born < known.Born
	}
	ended, ok := s.ended[key]
	if !ok {
		return false
	}
	return restored && entry.Born <= ended.Born || entry.Born == ended.Born && entry.Sequence < ended.Sequence
}

// reportEnded calls onEnded for the incarnations that a new entry shows to have ended.
func (s *servers) reportEnded(key string, entry fleet.Entry) {
	if known, ok := s.entries[key]; ok && known.SameIncarnation(entry) {
		return
	}
	for _, known := range s.entries {
		if entry.Succeeds(known) {
			s.onEnded(known)
		}
	}
}

// markMissing records that an entry has been removed. It counts as gone at once, or after
// returnGrace if an outage may be the reason.
func (s *servers) markMissing(key string, now time.Duration) {
	if _, known := s.entries[key]; !known {
		return
	}
	if _, alreadyMissing := s.missing[key]; alreadyMissing {
		return
	}
	s.missing[key] = now
	if now-s.recoveredAt <= expiryWindow {
		s.missing[key] = s.recoveredAt + returnGrace
	}
}

// removeGone forgets the entries that count as gone by now.
func (s *servers) removeGone(now time.Duration) {
	for key, at := range s.missing {
		if now >= at {
			s.log.Event("server", "id", key, "outcome", "gone")
			s.onEnded(s.entries[key])
			s.ended[key] = endedEntry{s.entries[key], now}
			delete(s.missing, key)
			delete(s.entries, key)
		}
	}
	for key, ended := range s.ended {
		if now-ended.at > endedRetention {
			delete(s.ended, key)
		}
	}
}
