package admin

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// fakeSystem is a System that applies publications immediately, without a log.
type fakeSystem struct {
	state      *settings.State
	marks      map[record.Subject]map[string]Mark
	applied    logservice.Offset
	seen       map[record.ID]publish.Result
	authors    []string
	loseAnswer bool  // publications take effect, but their result is Unknown
	appendErr  error // if set, publications fail with it and are not appended
	events     *timeline.Recorder
	hosts      []HostStatus
}

func newFakeSystem() *fakeSystem {
	return &fakeSystem{
		state:  settings.NewState(),
		marks:  map[record.Subject]map[string]Mark{},
		seen:   map[record.ID]publish.Result{},
		events: timeline.NewRecorder("h1", 10, time.Now),
	}
}

func (f *fakeSystem) Settings() *settings.State { return f.state }

func (f *fakeSystem) Applied() logservice.Offset { return f.applied }

func (f *fakeSystem) SinceLogConfirmed() time.Duration { return time.Second }

func (f *fakeSystem) Publish(_ context.Context, r record.Record) (publish.Result, error) {
	unknown := publish.Result{ID: r.ID, Status: publish.Unknown, Reason: "log is down"}
	if f.appendErr != nil {
		return publish.Result{}, f.appendErr
	}
	f.applied++
	f.authors = append(f.authors, r.Author)
	result := publish.Result{ID: r.ID, Status: publish.Accepted, Offset: f.applied}
	switch r.Kind {
	case record.KindSettings:
		decision := f.state.Apply(f.applied, *r.Settings)
		if !decision.Accepted() {
			result.Status = publish.Refused
			result.Reason = decision.Reason()
		}
	case record.KindMark:
		if f.marks[r.Mark.Subject] == nil {
			f.marks[r.Mark.Subject] = map[string]Mark{}
		}
		f.marks[r.Mark.Subject][r.Mark.Name] = Mark{r.Mark.Subject, r.Mark.Name, r.Mark.State, f.applied, r.Mark.Comment}
	}
	f.seen[r.ID] = result
	if f.loseAnswer {
		return unknown, nil
	}
	return result, nil
}

func (f *fakeSystem) Seen(id record.ID) (publish.Result, bool) {
	result, seen := f.seen[id]
	return result, seen
}

func (f *fakeSystem) Marks() []Mark {
	var marks []Mark
	for _, byName := range f.marks {
		for _, mark := range byName {
			marks = append(marks, mark)
		}
	}
	return marks
}

func (f *fakeSystem) History(context.Context) ([]publish.HistoryEntry, error) {
	return nil, logservice.ErrUnavailable
}

func (f *fakeSystem) Owner(service, key string) (Owner, error) {
	if service != "revize" {
		return Owner{}, ErrNotFound
	}
	return Owner{Service: service, Key: key, Server: "127.0.0.1:9101"}, nil
}

func (f *fakeSystem) Sessions() []Session { return []Session{{ID: 5}} }

func (f *fakeSystem) Load() []ServerLoad { return []ServerLoad{{Server: "127.0.0.1:9101"}} }

func (f *fakeSystem) Hosts() []HostStatus { return f.hosts }

func (f *fakeSystem) Events(since uint64) []timeline.Event { return f.events.Since(since) }
