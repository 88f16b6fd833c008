package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/content"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

const (
	// MaxInlineBytes is the size of the largest value that a message to another host holds.
	MaxInlineBytes = 64 << 10
	// transferRound is how long a host fetches the values of a reply before it queries the relay again, which may have a newer
	// version by then. What has arrived is kept.
	transferRound = time.Second
)

// errInterrupted reports that the values of a reply have arrived in part.
var errInterrupted = errors.New("relay: a value has arrived in part")

// describe returns the forms in which values go to other hosts, by the indexes of their records, and makes the large
// values available to them.
func (r *Relay) describe(topic Topic, records []follow.Record) map[int]forms {
	described := make(map[int]forms)
	for i, record := range records {
		f := forms{compressed: deflate(record.Value)}
		if len(record.Value) > MaxInlineBytes && r.config.Contents != nil {
			m := r.config.Contents.Store.Add(ContentName(topic, record.Key), record.Value)
			f.manifest = &m
		}
		if f.manifest != nil || f.compressed != nil {
			described[i] = f
		}
	}
	return described
}

// ContentName returns the name under which package content keeps the versions of a record's value.
func ContentName(topic Topic, key string) string {
	return string(topic) + "/" + key
}

// resolve fetches the values to which a reply of an era refers and puts them into its records. Records that a later
// one of the same key replaces are dropped instead.
func (s *Source) resolve(ctx context.Context, host Host, era follow.Era, reply *Reply) error {
	last := make(map[string]int, len(reply.Records))
	for i, record := range reply.Records {
		last[record.Key] = i
	}
	dropped := make(map[int]bool)
	for _, reference := range reply.References {
		if reference.Record < 0 || reference.Record >= len(reply.Records) {
			return errors.Newf("relay: host %s refers to record %d of %d", host.Name, reference.Record, len(reply.Records))
		}
		record := &reply.Records[reference.Record]
		if last[record.Key] != reference.Record {
			dropped[reference.Record] = true
			continue
		}
		if s.relay.config.OnReference != nil {
			s.relay.config.OnReference(s.topic, follow.Position{Era: era, Offset: record.Offset + 1})
		}
		value, err := s.fetch(ctx, host, record.Key, reference.Manifest)
		if err != nil {
			return err
		}
		record.Value = value
	}
	reply.Records = without(reply.Records, dropped)
	return nil
}

// without returns the records whose indexes are not among those dropped. It reuses the slice.
func without(records []follow.Record, dropped map[int]bool) []follow.Record {
	if len(dropped) == 0 {
		return records
	}
	kept := records[:0]
	for i, record := range records {
		if !dropped[i] {
			kept = append(kept, record)
		}
	}
	return kept
}

// fetch fetches the value of a record from the relay. The error is errInterrupted if a part of it has arrived in time. A
// relay from which nothing has arrived is not queried again for a while.
func (s *Source) fetch(ctx context.Context, host Host, key string, m content.Manifest) ([]byte, error) {
	contents, name := s.relay.config.Contents, ContentName(s.topic, key)
	began := s.relay.config.Clock()
	missing := contents.Store.Missing(name, m)
	var received follow.Progress
	fetchCtx, cancel := context.WithTimeout(follow.WithProgress(ctx, &received), transferRound)
	defer cancel()
	value, err := contents.Fetch(fetchCtx, name, m, []string{host.Addr})
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	took := s.relay.config.Clock() - began
	fields := []any{
		"topic", string(s.topic), "key", key, "bytes", m.Size, "received", received.Bytes(), "relay", host.Name, "ms", took.Milliseconds(),
	}
	if err == nil {
		s.relay.config.Log.Event("transfer", append(fields, "outcome", "complete")...)
		return value, nil
	}
	s.relay.config.Log.Event("transfer", append(fields, "outcome", "incomplete", "err", err.Error())...)
	if contents.Store.Missing(name, m) < missing {
		return nil, errors.Mark(err, errInterrupted)
	}
	s.relay.avoidHost(host, s.topic, took, err.Error())
	return nil, err
}
