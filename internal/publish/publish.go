// Package publish publishes operator records (settings and marks): it builds and
// checks them, appends them to the platform's log, and reads the log to learn
// whether they were accepted.
//
// The administration API of a host publishes through it, and so does the operators'
// command when it uses the log directly.
//
// If the answer to an append is lost, the append may or may not have taken effect.
// The publisher then appends the same record again under the same ID until it reads
// a record with that ID in the log. This is idempotent: every record names the
// versions that it is based on, so readers accept at most one of several equal
// records, and the decision on the first one in the log is the result. If the log
// shows nothing before the caller's deadline, the result is Unknown.
package publish

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// Backoff between two attempts of an append.
const (
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
)

// callTimeout bounds one append, and one read of the log up to its end.
const callTimeout = 3 * time.Second

// readTimeout bounds one wait of awaitID for the view to show a record.
const readTimeout = time.Second

// Status says what is known about a publication.
type Status string

const (
	// Accepted means that the record is in the log and in force from its offset on.
	Accepted Status = "accepted"
	// Refused means that the readers of the log rejected the record, for example
	// because another change came first. It has no effect.
	Refused Status = "refused"
	// NotAppended means that the record was not sent to the log.
	NotAppended Status = "not-appended"
	// Unknown means that the record may be in the log, or may still reach it.
	Unknown Status = "unknown"
)

// Result is the result of a publication. If the status is Unknown, Offset is zero and
// Reason is the last error.
type Result struct {
	ID     record.ID         `json:"id"`
	Status Status            `json:"status"`
	Offset logservice.Offset `json:"offset,omitempty"`
	Reason string            `json:"reason,omitempty"`
}

// NothingToChange returns the result of a publication that needs no record, because
// the requested state has been in force since the given version.
func NothingToChange(id record.ID, version logservice.Offset) Result {
	return Result{ID: id, Status: Accepted, Offset: version, Reason: "nothing to change"}
}

// Publisher publishes operator records. It is safe for concurrent use.
type Publisher struct {
	log    logservice.Log
	view   *view.View
	author string
	now    func() time.Time
	// updateView reads the log into the view, or waits for the process that follows
	// the log to do so. It may return as soon as the view shows the ID.
	updateView func(ctx context.Context, p *Publisher, id record.ID) error
}

// Open reads the log up to its end and returns a publisher for a process that does
// not follow the log. The author is set on records that have none.
func Open(ctx context.Context, log logservice.Log, author string, now func() time.Time) (*Publisher, error) {
	p := &Publisher{log: log, view: view.New(), author: author, now: now, updateView: catchUp}
	return p, catchUp(ctx, p, "")
}

// NewWithView returns a publisher for a process that keeps the view up to date itself,
// with a view.Follower. The author is set on records that have none.
func NewWithView(followed *view.View, log logservice.Log, author string, now func() time.Time) *Publisher {
	return &Publisher{log: log, view: followed, author: author, now: now, updateView: awaitID}
}

// View returns the state of the log as far as it has been read.
func (p *Publisher) View() *view.View {
	return p.view
}

// Seen returns the result of the record with the ID. It returns false if the record has
// not been read in the log, or its result is no longer kept.
func (p *Publisher) Seen(id record.ID) (Result, bool) {
	decision, seen := p.view.Result(id)
	if !seen {
		return Result{}, false
	}
	return resultOf(id, decision), true
}

// Publish appends a settings or mark record, unless a record with its ID has already
// been read in the log, and returns its result. If the context ends first, the
// result is Unknown; the caller may then publish the same record again under the
// same ID. An error means that nothing was appended.
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
			return unknownResult(r.ID, lastErr), nil
		}
		lastErr = p.append(ctx, data)
		if err := p.readBack(ctx, r.ID, backoff); err != nil {
			lastErr = err
		}
	}
}

// append makes one attempt to append the record. Its error leaves open whether the
// append took effect.
func (p *Publisher) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, data)
	return err
}

// readBack reads the log until it shows the ID. It gives up if the log has answered a
// read without showing the ID, and one more read a backoff later does not show it
// either; the record may then be appended again.
func (p *Publisher) readBack(ctx context.Context, id record.ID, backoff time.Duration) error {
	for answered := false; ; {
		err := p.updateView(ctx, p, id)
		if _, seen := p.Seen(id); seen || ctx.Err() != nil || answered {
			return err
		}
		answered = err == nil
		loop.Sleep(ctx, backoff)
	}
}

// catchUp reads the log into the view up to the log's end.
func catchUp(ctx context.Context, p *Publisher, _ record.ID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return view.CatchUp(ctx, p.view, p.log, func(record.Record, view.Decision) {})
}

// awaitID waits until the view shows the ID, for readTimeout at most.
func awaitID(ctx context.Context, p *Publisher, id record.ID) error {
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

// resultOf returns the result of the record with the ID from the decision on it.
func resultOf(id record.ID, decision view.Decision) Result {
	result := Result{ID: id, Status: Refused, Offset: decision.Offset, Reason: decision.Reason}
	if decision.Accepted {
		result.Status = Accepted
	}
	return result
}

func unknownResult(id record.ID, err error) Result {
	result := Result{ID: id, Status: Unknown}
	if err != nil {
		result.Reason = err.Error()
	}
	return result
}
