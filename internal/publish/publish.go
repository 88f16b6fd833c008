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

	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
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

// readTimeout is how long a publisher waits for its process to read a record back.
const readTimeout = time.Second

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
	ID     record.ID         `json:"id"`
	Status Status            `json:"status"`
	Offset logservice.Offset `json:"offset,omitempty"`
	Reason string            `json:"reason,omitempty"`
}

// NothingToChange returns the result of a publication that changes nothing,
// because what it asks for is in force since the given version.
func NothingToChange(id record.ID, version logservice.Offset) Result {
	return Result{ID: id, Status: Accepted, Offset: version, Reason: "nothing to change"}
}

// Publisher publishes operators' records. It is safe for concurrent use.
type Publisher struct {
	log    logservice.Log
	view   *view.View
	author string
	now    func() time.Time
	// read brings the view up to date with the log, or gives its process time
	// to do so, and may return once the view shows the ID.
	read func(ctx context.Context, p *Publisher, id record.ID) error
}

// Open reads the log to its end and returns a publisher for a process that
// does not follow the log. Records without an author get the given one.
func Open(ctx context.Context, log logservice.Log, author string, now func() time.Time) (*Publisher, error) {
	p := &Publisher{log: log, view: view.New(), author: author, now: now, read: catchUp}
	return p, catchUp(ctx, p, "")
}

// Following returns a publisher for a process that keeps the view up to date itself.
func Following(followed *view.View, log logservice.Log, author string, now func() time.Time) *Publisher {
	return &Publisher{log: log, view: followed, author: author, now: now, read: await}
}

// View returns the folded log as far as it has been read.
func (p *Publisher) View() *view.View {
	return p.view
}

// Seen returns the result of a record that was read in the log.
func (p *Publisher) Seen(id record.ID) (Result, bool) {
	verdict, seen := p.view.Result(id)
	if !seen {
		return Result{}, false
	}
	return resultOf(id, verdict), true
}

// Publish appends a settings or mark record unless the log is known to hold
// its ID already, and returns its result. The result is Unknown where the
// context ends first; the same record may then be published again under the
// same ID. An error says that nothing was appended.
func (p *Publisher) Publish(ctx context.Context, r record.Record) (Result, error) {
	if r.Author == "" {
		r.Author = p.author
	}
	r.TimeMS = p.now().UnixMilli()
	data, err := record.Encode(r)
	if err != nil {
		return Result{}, err
	}
	var lastErr error
	for backoff := backoffMin; ; backoff = min(2*backoff, backoffMax) {
		if result, seen := p.Seen(r.ID); seen {
			return result, nil
		}
		if ctx.Err() != nil {
			return unknown(r.ID, lastErr), nil
		}
		lastErr = p.append(ctx, data)
		if err := p.readBack(ctx, r.ID, backoff); err != nil {
			lastErr = err
		}
	}
}

func (p *Publisher) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, data)
	return err
}

// readBack reads the log until it shows the ID or has answered for at least the
// pause without showing it.
func (p *Publisher) readBack(ctx context.Context, id record.ID, pause time.Duration) error {
	for answered := false; ; {
		err := p.read(ctx, p, id)
		if _, seen := p.Seen(id); seen || ctx.Err() != nil || answered {
			return err
		}
		answered = err == nil
		duty.Wait(ctx, pause)
	}
}

// catchUp reads the log to its end.
func catchUp(ctx context.Context, p *Publisher, _ record.ID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return view.CatchUp(ctx, p.view, p.log, func(record.Record, view.Verdict) {})
}

// await waits until the view shows the ID, for readTimeout at most.
func await(ctx context.Context, p *Publisher, id record.ID) error {
	timer := time.NewTimer(readTimeout)
	defer timer.Stop()
	for {
		changed := p.view.Changed()
		if _, seen := p.Seen(id); seen {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
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
