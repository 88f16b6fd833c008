package admin

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

func (s *Server) getSettings(w http.ResponseWriter, _ *http.Request) {
	applied := s.system.Applied()
	state := s.system.Settings()
	writeJSON(w, http.StatusOK, SettingsReply{
		Version: state.Version(),
		Applied: applied,
		TOML:    state.Tree().Text(state.Version()),
	})
}

func (s *Server) getEffective(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Query().Get("path")
	state := s.system.Settings()
	values, err := state.Effective(path)
	if err != nil {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, EffectiveReply{
		Path:    path,
		Version: state.Version(),
		TOML:    settings.EffectiveText(values),
	})
}

// parseBody returns the tree of the settings file in the request's body. If the body
// cannot be read or has faults, parseBody answers with them and returns nil.
func parseBody(w http.ResponseWriter, r *http.Request) *settings.Tree {
	body, ok := readBody(w, r)
	if !ok {
		return nil
	}
	tree, err := settings.Parse(body)
	var faults settings.Faults
	if errors.As(err, &faults) {
		writeJSON(w, http.StatusUnprocessableEntity, CheckReply{Faults: faults})
		return nil
	}
	return tree
}

func (s *Server) checkSettings(w http.ResponseWriter, r *http.Request) {
	if parseBody(w, r) == nil {
		return
	}
	writeJSON(w, http.StatusOK, CheckReply{Faults: settings.Faults{}})
}

func (s *Server) diffSettings(w http.ResponseWriter, r *http.Request) {
	tree := parseBody(w, r)
	if tree == nil {
		return
	}
	state := s.system.Settings()
	writeJSON(w, http.StatusOK, DiffReply{
		Version: state.Version(),
		Diffs:   settings.Diff(state.Tree(), tree),
	})
}

func (s *Server) publishSettings(w http.ResponseWriter, r *http.Request) {
	id, ok := recordID(w, record.ID(r.URL.Query().Get("id")))
	if !ok {
		return
	}
	base, ok := queryNumber(w, r, "base")
	if !ok {
		return
	}
	tree := parseBody(w, r)
	if tree == nil {
		return
	}
	if result, seen := s.system.Seen(id); seen {
		writeResult(w, result)
		return
	}
	state := s.system.Settings()
	change, decision := publish.SettingsRecord(id, state, tree, logservice.Offset(base), r.URL.Query().Get("comment"))
	switch {
	case !decision.Accepted():
		writeRejection(w, id, decision)
	case len(change.Settings.Nodes) == 0:
		writeResult(w, publish.NothingToChange(id, state.Version()))
	default:
		s.publish(w, r, change)
	}
}

// writeRejection answers a publication that is not appended, because the readers of
// the log would reject it.
func writeRejection(w http.ResponseWriter, id record.ID, decision settings.Decision) {
	status := http.StatusUnprocessableEntity
	if decision.Kind == settings.Conflicting {
		status = http.StatusConflict
	}
	writeJSON(w, status, RejectionReply(id, decision))
}

// publish appends a record with the request's principal as its author, and answers with
// its result.
func (s *Server) publish(w http.ResponseWriter, r *http.Request, change record.Record) {
	change.Author = principalOf(r.Context()).Name
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	result, err := s.system.Publish(ctx, change)
	if err != nil {
		result = publish.Result{ID: change.ID, Status: publish.NotAppended, Reason: err.Error()}
	}
	writeResult(w, result)
}

// writeResult answers with the result of a publication and the status for it.
func writeResult(w http.ResponseWriter, result publish.Result) {
	status := http.StatusGatewayTimeout
	switch result.Status {
	case publish.Accepted:
		status = http.StatusAccepted
	case publish.Refused:
		status = http.StatusConflict
	case publish.NotAppended:
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, PublishReply{Result: result})
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), historyTimeout)
	defer cancel()
	entries, err := s.system.History(ctx)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, HistoryReply{Entries: entries})
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	version := s.system.Settings().Version()
	hosts := s.system.Hosts()
	writeJSON(w, http.StatusOK, StatusReply{
		SettingsVersion: version,
		InForce:         inForce(version, hosts),
		LogSilenceMS:    s.system.SinceLogConfirmed().Milliseconds(),
		Hosts:           hosts,
	})
}

// inForce reports whether every host is reachable and has applied the version. Without
// any host it returns false, since nothing confirms it.
func inForce(version logservice.Offset, hosts []HostStatus) bool {
	for _, host := range hosts {
		if !host.Reachable || host.Applied < version {
			return false
		}
	}
	return len(hosts) > 0
}
