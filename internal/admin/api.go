// Package admin is the administration HTTP API of a host, and its client.
//
// Operators use it through the poplarctl command to read and publish settings, to
// set marks and to look at owners, sessions, load, hosts and events. The API decides
// who may do what and translates between HTTP and the System interface, which
// package overview implements.
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
// A settings file is based on the version in the parameter base, or on the version
// that the file names. A publication is answered with
//
//	202 if it was accepted,
//	409 if it was rejected, for example because another change came first,
//	422 if its contents are invalid,
//	503 if it was not appended for another reason,
//	504 if it is not known whether it took effect.
//
// Publications are idempotent: the same one may be sent again under the same ID and
// takes effect at most once.
//
// The metrics are at /debug/vars; viewers may read them.
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

// PathPrefix is the prefix of all paths of the API.
const PathPrefix = "/v1/admin"

// PathMetrics is the path of the metrics.
const PathMetrics = "/debug/vars"

// ErrNotFound marks the error for something requested that does not exist.
var ErrNotFound = errors.New("admin: not found")

// System is what the API shows and changes: the state of one host, and what that host
// knows about the others. It is safe for concurrent use.
type System interface {
	// Settings returns the settings in force on this host. The caller must not change them.
	Settings() *settings.State
	// Applied returns the offset of the last record that this host has applied.
	Applied() logservice.Offset
	// SinceLogConfirmed returns how long ago the log last confirmed that this host was
	// up to date.
	SinceLogConfirmed() time.Duration
	// Publish appends the record and returns its result. It keeps the record's ID and
	// author. If this host has already read a record with the same ID in the log, that
	// record's result is returned and nothing is appended. If the context ends before
	// the result is known, the result's status is publish.Unknown. An error means that
	// nothing was appended.
	Publish(ctx context.Context, r record.Record) (publish.Result, error)
	// Seen returns the result of the settings or mark record with the ID. It returns
	// false if this host has not read the record in the log or no longer keeps its
	// result.
	Seen(id record.ID) (publish.Result, bool)
	// Marks returns the marks in force on this host, ordered by subject and name.
	Marks() []Mark
	// History returns the operator records that the log still holds, in log order.
	History(ctx context.Context) ([]publish.HistoryEntry, error)
	// Owner returns the owner of a key. Its error is marked ErrNotFound if the service
	// does not exist or is not keyed.
	Owner(service, key string) (Owner, error)
	// Sessions returns the open sessions, ordered by ID.
	Sessions() []Session
	// Load returns the load of the backend servers as far as this host knows it.
	Load() []ServerLoad
	// Hosts returns the status of every known host, this one included, ordered by name.
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

// Owner says which session and server own a key. Session, Server, Zone and Epoch are
// zero if the key's slice has no owner. Moving says that the owner has been asked to
// drop the slice to its successor.
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
	// Lead is the primary, the host through which requests to the owner go; the wire
	// calls it lead. It is empty if this host does not know it.
	Lead string `json:"lead,omitempty"`
}

// Session is an open session of a backend server. Lead is its primary, empty if this
// host does not know it; Slices is the number of slices that it owns.
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

// ServerLoad is the load of one backend server as far as a host knows it: the requests
// of that host, and what the server reported.
type ServerLoad struct {
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	Server    string  `json:"server"`
	InFlight  int     `json:"in_flight"`
	Queued    int     `json:"queued"`
	Slots     int     `json:"slots"`
	LatencyMS float64 `json:"latency_ms"`
	// Reported is the load that the server last reported, ReportAgeMS milliseconds ago.
	Reported    float64 `json:"reported"`
	ReportAgeMS int64   `json:"report_age_ms"`
	Draining    bool    `json:"draining,omitempty"`
}

// HostStatus is the status of one host of the platform's list as another host knows
// it.
type HostStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	// Reachable says that the host has recently answered the host that was queried.
	Reachable bool `json:"reachable"`
	// Applied is the log offset that the host last reported, AnsweredMS milliseconds ago.
	Applied    logservice.Offset `json:"applied"`
	AnsweredMS int64             `json:"answered_ms"`
}

// SettingsReply is the settings tree as TOML, with its version. Applied is the log
// offset that the host has applied.
type SettingsReply struct {
	Version logservice.Offset `json:"version"`
	Applied logservice.Offset `json:"applied"`
	TOML    string            `json:"toml"`
}

// EffectiveReply holds the values in force at a node as TOML.
type EffectiveReply struct {
	Path    string            `json:"path"`
	Version logservice.Offset `json:"version"`
	TOML    string            `json:"toml"`
}

// CheckReply lists the faults of a settings file.
type CheckReply struct {
	Faults settings.Faults `json:"faults"`
}

// DiffReply lists the differences from the settings in force to those in a file.
type DiffReply struct {
	Version logservice.Offset   `json:"version"`
	Diffs   []settings.NodeDiff `json:"diffs"`
}

// PublishReply is the result of a publication. Conflicts lists the nodes that have
// changed since the version that it is based on, Faults what is wrong with it.
type PublishReply struct {
	publish.Result
	Conflicts []settings.Conflict `json:"conflicts,omitempty"`
	Faults    settings.Faults     `json:"faults,omitempty"`
}

// RejectionReply returns the reply to a publication that is not appended, because the
// readers of the log would reject it.
func RejectionReply(id record.ID, decision settings.Decision) PublishReply {
	status := publish.NotAppended
	if decision.Kind == settings.Conflicting {
		status = publish.Refused
	}
	return PublishReply{
		Result:    publish.Result{ID: id, Status: status, Reason: decision.Reason()},
		Conflicts: decision.Conflicts,
		Faults:    decision.Faults,
	}
}

// HistoryReply lists operator records in log order.
type HistoryReply struct {
	Entries []publish.HistoryEntry `json:"entries"`
}

// StatusReply says which log offset each host has applied. InForce says that every
// host of the list has applied SettingsVersion, the latest version that the queried
// host knows.
type StatusReply struct {
	SettingsVersion logservice.Offset `json:"settings_version"`
	InForce         bool              `json:"in_force"`
	// LogSilenceMS is how many milliseconds ago the log last confirmed to the queried
	// host that it was up to date.
	LogSilenceMS int64        `json:"log_silence_ms"`
	Hosts        []HostStatus `json:"hosts"`
}

// MarksReply lists marks.
type MarksReply struct {
	Marks []Mark `json:"marks"`
}

// MarkRequest requests a mark on a zone, host or backend server. ID may be empty; the
// host then creates one. Force allows a zone or backend server that the settings do
// not contain.
type MarkRequest struct {
	ID      record.ID        `json:"id"`
	Subject record.Subject   `json:"subject"`
	Name    string           `json:"name"`
	State   record.MarkState `json:"state"`
	Comment string           `json:"comment,omitempty"`
	Force   bool             `json:"force,omitempty"`
}

// Check returns a message that says what is wrong with the request under the settings
// in force, "" if it is valid.
func (r MarkRequest) Check(tree *settings.Tree) string {
	problem := publish.CheckMark(r.Subject, r.Name, r.State)
	if problem != "" || r.Force {
		return problem
	}
	return publish.CheckMarkName(tree, r.Subject, r.Name)
}

// Mark returns the requested mark without its base.
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

// LoadReply lists the load of the backend servers.
type LoadReply struct {
	Servers []ServerLoad `json:"servers"`
}

// TimelineReply lists events of one host, in order.
type TimelineReply struct {
	Events []timeline.Event `json:"events"`
}

// ErrorReply is the body of every non-2xx answer that has no body listed above.
type ErrorReply struct {
	Error string `json:"error"`
}
