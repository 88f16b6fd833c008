package view

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// readBatch is the largest number of records per read.
	readBatch = 1000
	// readWait is how long the log may hold back its answer to wait for a new record.
	readWait = 500 * time.Millisecond
	// readTimeout bounds a read, the log's wait of readWait included. A dead connection
	// to the log is noticed within this time, so that a published change still takes
	// effect in time.
	readTimeout = 1200 * time.Millisecond
	// backoffMin and backoffMax bound the exponential backoff after failed reads. Each
	// sleep is jittered: between half and one and a half times the backoff.
	backoffMin = 50 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// Follower keeps a view up to date with the log.
type Follower struct {
	view       *View
	log        logservice.Log
	onLogState func(bool)
}

// NewFollower returns a follower of the log. It calls onLogState with true when the
// log starts to answer and with false when it stops. The log counts as not
// answering at first.
func NewFollower(view *View, log logservice.Log, onLogState func(bool)) *Follower {
	return &Follower{view: view, log: log, onLogState: onLogState}
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := backoffMin
	answering := false
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if ok := err == nil; ok != answering {
			answering = ok
			f.onLogState(ok)
		}
		if err == nil {
			backoff = backoffMin
			continue
		}
		loop.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// readOnce reads the next records, waiting up to readWait for them, and applies them.
// If the log has trimmed them, it restores a checkpoint instead.
func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	reply, err := f.log.Read(ctx, f.view.Applied()+1, readBatch, readWait)
	if errors.Is(err, logservice.ErrTrimmed) {
		return f.restoreCheckpoint(ctx, reply.First)
	}
	if err != nil {
		return err
	}
	f.view.apply(reply.Entries)
	f.view.confirm(started)
	return nil
}

// ErrNoCheckpoint reports that the log has trimmed records which the view needs, and
// that the retained part holds no checkpoint that covers all of them.
var ErrNoCheckpoint = errors.New("view: no checkpoint in the retained log")

// restoreCheckpoint restores the view from the newest checkpoint in the retained part
// of the log. Records that it does not cover are then read as usual, so it is usable
// only if it covers every trimmed record. first is the first retained offset.
func (f *Follower) restoreCheckpoint(ctx context.Context, first logservice.Offset) error {
	var newest *record.Checkpoint
	for from := first; ; {
		reply, err := f.log.Read(ctx, from, readBatch, 0)
		if err != nil {
			return err
		}
		for _, entry := range reply.Entries {
			newest = newerCheckpoint(newest, entry, first)
			from = entry.Offset + 1
		}
		if len(reply.Entries) == 0 || from >= reply.Next {
			break
		}
	}
	if newest == nil {
		return ErrNoCheckpoint
	}
	return f.view.Restore(newest.State)
}

// newerCheckpoint returns the checkpoint in entry if it is usable with the log's first
// retained offset and covers more than newest, else newest.
func newerCheckpoint(newest *record.Checkpoint, entry logservice.Entry, first logservice.Offset) *record.Checkpoint {
	r, err := record.Decode(entry.Data)
	if err != nil || r.Kind != record.KindCheckpoint || r.Checkpoint.Offset+1 < first {
		return newest
	}
	if newest != nil && newest.Offset >= r.Checkpoint.Offset {
		return newest
	}
	return r.Checkpoint
}
