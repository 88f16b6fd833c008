// Package publish appends records to the platform's log and finds out by
// reading what became of them.
//
// A lost answer to an append leaves open whether it took effect. The publisher
// then appends the same record again under the same ID until it reads the ID
// back. Every record names the versions that it is based on, so readers accept
// at most one of several equal ones, and the first in the log tells the result.
package publish

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/platform"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// Pauses between two tries of an append.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// callTimeout bounds one append, and one reading of the log to its end.
const callTimeout = 3 * time.Second

// Status says what is known about a record that was to be published.
type Status string

const (
	// Accepted means that the record is in the log and in force from its offset on.
	Accepted Status = "accepted"
	// Refused means that something else came first: every reader passes over the record.
	Refused Status = "refused"
	// NotAppended means that the record was not sent to the log.
	NotAppended Status = "not-appended"
	// Unknown means that the record may or may not be in the log, or may still reach it.
	Unknown Status = "unknown"
)

// Result says what became of a record. Offset is zero and Reason tells the
// last error where the status is Unknown.
type Result struct {
	ID     record.ID       `json:"id"`
	Status Status          `json:"status"`
	Offset platform.Offset `json:"offset,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// NothingToChange returns the result of a publication that changes nothing,
// because what it asks for is in force since the given version.
func NothingToChange(id record.ID, version platform.Offset) Result {
	return Result{ID: id, Status: Accepted, Offset: version, Reason: "nothing to change"}
}

// Publisher publishes records from a process that does not follow the log
// otherwise. It is not safe for concurrent use.
type Publisher struct {
	log    platform.Log
	view   *view.View
	author string
	now    func() time.Time
	seen   map[record.ID]view.Verdict
}

// Open reads the log to its end and returns a publisher that signs its records
// with the author's name.
func Open(ctx context.Context, log platform.Log, author string, now func() time.Time) (*Publisher, error) {
	p := &Publisher{
		log:    log,
		view:   view.New(),
		author: author,
		now:    now,
		seen:   make(map[record.ID]view.Verdict),
	}
	return p, p.catchUp(ctx)
}

// View returns the folded log as far as the publisher has read it.
func (p *Publisher) View() *view.View {
	return p.view
}

// Seen returns the result of a record that the log already holds.
func (p *Publisher) Seen(id record.ID) (Result, bool) {
	verdict, seen := p.seen[id]
	if !seen {
		return Result{}, false
	}
	return resultOf(id, verdict), true
}

// Publish appends the record unless the log holds its ID already, and returns
// its result. The result is Unknown where the context ends first; the same
// record may then be published again under the same ID.
func (p *Publisher) Publish(ctx context.Context, r record.Record) (Result, error) {
	r.Author = p.author
	r.TimeMS = p.now().UnixMilli()
	data, err := record.Encode(r)
	if err != nil {
		return Result{}, err
	}
	var appendErr error
	for backoff := backoffMin; ; backoff = min(2*backoff, backoffMax) {
		if result, seen := p.Seen(r.ID); seen {
			return result, nil
		}
		if ctx.Err() != nil {
			return unknown(r.ID, appendErr), nil
		}
		appendErr = p.append(ctx, data)
		if err := p.readBack(ctx); err != nil {
			appendErr = err
		}
		if _, seen := p.Seen(r.ID); !seen {
			wait(ctx, backoff)
		}
	}
}

// readBack reads the log to its end, again and again until the log answers or the context ends.
func (p *Publisher) readBack(ctx context.Context) error {
	for backoff := backoffMin; ; backoff = min(2*backoff, backoffMax) {
		err := p.catchUp(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		wait(ctx, backoff)
	}
}

func (p *Publisher) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, data)
	return err
}

// catchUp reads the log to its end and keeps the first verdict of each ID.
func (p *Publisher) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return view.CatchUp(ctx, p.view, p.log, func(r record.Record, verdict view.Verdict) {
		if _, repeated := p.seen[r.ID]; !repeated {
			p.seen[r.ID] = verdict
		}
	})
}

func resultOf(id record.ID, verdict view.Verdict) Result {
	result := Result{ID: id, Status: Refused, Offset: verdict.Offset, Reason: verdict.Reason}
	if verdict.Accepted {
		result.Status = Accepted
	}
	return result
}

func unknown(id record.ID, err error) Result {
	result := Result{ID: id, Status: Unknown}
	if err != nil {
		result.Reason = err.Error()
	}
	return result
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
