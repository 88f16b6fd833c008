package view

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// readBatch is the largest number of records taken in one read.
	readBatch = 1000
	// readWait is how long a read waits for a new record.
	readWait = 500 * time.Millisecond
	// readTimeout bounds a read; it exceeds readWait. A connection to the log that
	// has gone silent is noticed within it, so that a change is still in force in time.
	readTimeout = 1200 * time.Millisecond
	// backoffMin and backoffMax bound the jittered pause after a failed read.
	backoffMin = 50 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// Follower keeps a view up to date with the log.
type Follower struct {
	view *View
	log  logservice.Log
	up   func(bool)
}

// NewFollower returns a follower of the log. up is told each change between a
// log that answers and one that does not.
func NewFollower(view *View, log logservice.Log, up func(bool)) *Follower {
	return &Follower{view: view, log: log, up: up}
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := backoffMin
	answering := false
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ok := err == nil; ok != answering {
			answering = ok
			f.up(ok)
		}
		if err == nil {
			backoff = backoffMin
			continue
		}
		duty.Wait(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// step reads once and applies what it got.
func (f *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	reply, err := f.log.Read(ctx, f.view.Applied()+1, readBatch, readWait)
	if errors.Is(err, logservice.ErrTrimmed) {
		return f.recover(ctx, reply.First)
	}
	if err != nil {
		return err
	}
	f.view.apply(reply.Entries)
	f.view.confirm(started)
	return nil
}

// ErrNoCheckpoint reports a log whose retained part holds no usable checkpoint.
var ErrNoCheckpoint = errors.New("view: no checkpoint in the retained log")

// recover restores the newest checkpoint in the retained part of the log that
// leaves no gap. Records after it are then read as usual.
func (f *Follower) recover(ctx context.Context, first logservice.Offset) error {
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
