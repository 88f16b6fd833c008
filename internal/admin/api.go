// Package admin is the administration HTTP API of a host, with its client.
//
// All paths lie below /v1/admin. Bodies are JSON but for settings files, which
// are TOML. A viewer may read; an operator may publish settings and set marks.
//
//	GET  /settings                                 -> SettingsReply
//	GET  /settings/effective?path=PATH             -> EffectiveReply
//	POST /settings/check     body: TOML            -> CheckReply
//	POST /settings/diff      body: TOML            -> DiffReply
//	POST /settings/publish?base=N&id=ID&comment=C  -> PublishReply
//	GET  /settings/history                         -> HistoryReply
//	GET  /settings/status                          -> StatusReply
//	GET  /marks                                    -> MarksReply
//	POST /marks              body: MarkRequest     -> PublishReply
//	GET  /owners/{service}/{key}                   -> Owner
//	GET  /sessions                                 -> SessionsReply
//	GET  /load                                     -> LoadReply
//	GET  /hosts                                    -> StatusReply
//	GET  /timeline?since=SEQ                       -> TimelineReply
//
// A settings file is based on the version in base, or on the one that it names.
// A publication answers 202 where it is accepted, 409 where it is refused
// because something else came first, 422 where its contents are at fault, 503
// where it was not appended for another reason, and 504 where it is not known
// whether it took effect. It may be sent again
// under the same ID: what has taken effect does not take effect twice.
//
// The metrics are at /debug/vars, for viewers.
package admin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// PathPrefix starts the path of every request of the API.
const PathPrefix = "/v1/admin"

// PathMetrics is the path of the metrics.
const PathMetrics = "/debug/vars"

// ErrNotFound reports something asked for that does not exist.
var ErrNotFound = errors.New("admin: not found")

// System is what the API shows and changes: one host with what it knows of the
// others. It is safe for concurrent use.
type System interface {
	// Settings returns the settings in force on this host. The caller only reads them.
	Settings() *settings.State
	// Applied returns the offset of the last record that this host has applied.
	Applied() logservice.Offset
	// LogSilence returns how long ago the log last confirmed that this host is up to date.
	LogSilence() time.Duration
	// Publish appends the record and returns what became of it. It keeps the
	// record's ID and author. A record whose ID this host has read in the log
	// already is not appended again. Where the context ends before the result
	// is known, the result's status is publish.Unknown. An error says that
	// nothing was appended.
	Publish(ctx context.Context, r record.Record) (publish.Result, error)
	// Seen returns the result of the settings or mark record with the ID, where
	// this host has read it in the log and still remembers it.
	Seen(id record.ID) (publish.Result, bool)
	// Marks returns the marks in force on this host, by subject and name.
	Marks() []Mark
	// History returns the operators' records that the log still holds.
	History(ctx context.Context) ([]publish.HistoryEntry, error)
	// Owner returns the owner of a key. Its error is ErrNotFound for an unknown
	// service and for one that is not divided by key.
	Owner(service, key string) (Owner, error)
	// Sessions returns the open sessions by ID.
	Sessions() []Session
	// Load returns what this host knows of the backend servers' load.
	Load() []ServerLoad
	// Hosts returns the status of every known host by name, this one included.
	Hosts() []HostStatus
	// Events returns this host's events with a sequence number above since.
	Events(since uint64) []timeline.Event
}

// Mark is the state that an operator gave a zone, host or backend server.
type Mark struct {
	Subject record.Subject    `json:"subject"`
	Name    string            `json:"name"`
	State   record.MarkState  `json:"state"`
	Version logservice.Offset `json:"version"`
	Comment string            `json:"comment,omitempty"`
}

// Owner tells who owns a key. Session, Server and Zone are zero where the slice has no owner.
type Owner struct {
	Service         string           `json:"service"`
	Key             string           `json:"key"`
	Slice           int              `json:"slice"`
	Session         record.SessionID `json:"session"`
	Server          string           `json:"server"`
	Zone            string           `json:"zone"`
	Epoch           record.Epoch     `json:"epoch"`
	Successor       record.SessionID `json:"successor,omitempty"`
	SuccessorServer string           `json:"successor_server,omitempty"`
	Moving          bool             `json:"moving,omitempty"`
	// Lead is the host that sends to the owner, as far as this host knows.
	Lead string `json:"lead,omitempty"`
}

// Session is an open session of a backend server.
type Session struct {
	ID          record.SessionID  `json:"id"`
	Service     string            `json:"service"`
	Zone        string            `json:"zone"`
	Server      string            `json:"server"`
	Incarnation string            `json:"incarnation"`
	Lessors     []string          `json:"lessors"`
	Lead        string            `json:"lead,omitempty"`
	Slices      int               `json:"slices"`
	Version     logservice.Offset `json:"version"`
}

// ServerLoad is what a host knows of one backend server's load.
type ServerLoad struct {
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	Server    string  `json:"server"`
	InFlight  int     `json:"in_flight"`
	Queued    int     `json:"queued"`
	Slots     int     `json:"slots"`
	LatencyMS float64 `json:"latency_ms"`
	// Reported is the load that the server last reported, ReportAgeMS ago.
	Reported    float64 `json:"reported"`
	ReportAgeMS int64   `json:"report_age_ms"`
	Draining    bool    `json:"draining,omitempty"`
}

// HostStatus is what is known of one host of the platform's list.
type HostStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	// Reachable says that the host answers the host that was asked.
	Reachable bool `json:"reachable"`
	// Applied is the log offset that the host told last, AnsweredMS ago.
	Applied    logservice.Offset `json:"applied"`
	AnsweredMS int64             `json:"answered_ms"`
}

// SettingsReply is the tree of settings with its version.
type SettingsReply struct {
	Version logservice.Offset `json:"version"`
	Applied logservice.Offset `json:"applied"`
	TOML    string            `json:"toml"`
}

// EffectiveReply holds the values in force at a node, in TOML.
type EffectiveReply struct {
	Path    string            `json:"path"`
	Version logservice.Offset `json:"version"`
	TOML    string            `json:"toml"`
}

// CheckReply lists what is wrong with a settings file.
type CheckReply struct {
	Faults settings.Faults `json:"faults"`
}

// DiffReply lists the differences from the settings in force to a file.
type DiffReply struct {
	Version logservice.Offset   `json:"version"`
	Diffs   []settings.NodeDiff `json:"diffs"`
}

// PublishReply says what became of a publication. Conflicts lists the nodes
// that have changed since the version that it is based on.
type PublishReply struct {
	publish.Result
	Conflicts []settings.Conflict `json:"conflicts,omitempty"`
	Faults    settings.Faults     `json:"faults,omitempty"`
}

// RefusalOf returns the reply to a publication that is not tried because the
// fold would refuse it now.
func RefusalOf(id record.ID, verdict settings.Verdict) PublishReply {
	status := publish.NotAppended
	if verdict.Kind == settings.Conflicting {
		status = publish.Refused
	}
	return PublishReply{
		Result:    publish.Result{ID: id, Status: status, Reason: verdict.Reason()},
		Conflicts: verdict.Conflicts,
		Faults:    verdict.Faults,
	}
}

// HistoryReply lists operators' records in the order of the log.
type HistoryReply struct {
	Entries []publish.HistoryEntry `json:"entries"`
}

// StatusReply tells how far each host is. InForce says that every host of the
// list has applied the settings version, the latest that the host asked knows.
type StatusReply struct {
	SettingsVersion logservice.Offset `json:"settings_version"`
	InForce         bool              `json:"in_force"`
	// LogSilenceMS is how long ago the log last confirmed the version to the host that was asked.
	LogSilenceMS int64        `json:"log_silence_ms"`
	Hosts        []HostStatus `json:"hosts"`
}

// MarksReply lists marks.
type MarksReply struct {
	Marks []Mark `json:"marks"`
}

// MarkRequest asks to mark a subject. ID may be empty. Force allows a zone or
// backend server that the settings do not know.
type MarkRequest struct {
	ID      record.ID        `json:"id"`
	Subject record.Subject   `json:"subject"`
	Name    string           `json:"name"`
	State   record.MarkState `json:"state"`
	Comment string           `json:"comment,omitempty"`
	Force   bool             `json:"force,omitempty"`
}

// Check returns what is wrong with the request under the settings in force, or "".
func (r MarkRequest) Check(tree *settings.Tree) string {
	problem := publish.CheckMark(r.Subject, r.Name, r.State)
	if problem != "" || r.Force {
		return problem
	}
	return publish.CheckMarkName(tree, r.Subject, r.Name)
}

// Mark returns the mark asked for, without its base.
func (r MarkRequest) Mark() record.Mark {
	return record.Mark{
		Subject: r.Subject,
		Name:    r.Name,
		State:   r.State,
		Comment: r.Comment,
	}
}

// SessionsReply lists open sessions.
type SessionsReply struct {
	Sessions []Session `json:"sessions"`
}

// LoadReply lists backend servers' load.
type LoadReply struct {
	Servers []ServerLoad `json:"servers"`
}

// TimelineReply lists events of one host.
type TimelineReply struct {
	Events []timeline.Event `json:"events"`
}

// ErrorReply is the body of every other answer that is not 2xx.
type ErrorReply struct {
	Error string `json:"error"`
}
