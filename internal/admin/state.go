package admin

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

func (s *Server) getMarks(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, MarksReply{Marks: s.system.Marks()})
}

// setMark publishes a mark, unless the subject already has the requested state or a
// record with the request's ID has already been read in the log.
func (s *Server) setMark(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var request MarkRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, "decode mark request: "+err.Error())
		return
	}
	if problem := request.Check(s.system.Settings().Tree()); problem != "" {
		writeError(w, http.StatusUnprocessableEntity, problem)
		return
	}
	id, ok := recordID(w, request.ID)
	if !ok {
		return
	}
	if result, seen := s.system.Seen(id); seen {
		writeResult(w, result)
		return
	}
	current := s.currentMark(request.Subject, request.Name)
	if current.State == request.State {
		writeResult(w, publish.NothingToChange(id, current.Version))
		return
	}
	s.publish(w, r, publish.MarkRecord(id, request.Mark(), current.Version))
}

// currentMark returns the mark in force on a subject, MarkActive at version zero if it
// has none.
func (s *Server) currentMark(subject record.Subject, name string) Mark {
	for _, mark := range s.system.Marks() {
		if mark.Subject == subject && mark.Name == name {
			return mark
		}
	}
	return Mark{Subject: subject, Name: name, State: record.MarkActive}
}

func (s *Server) getOwner(w http.ResponseWriter, r *http.Request) {
	service, serviceErr := url.PathUnescape(mux.Vars(r)["service"])
	key, keyErr := url.PathUnescape(mux.Vars(r)["key"])
	if serviceErr != nil || keyErr != nil {
		writeError(w, http.StatusBadRequest, "malformed path: the service or the key is not correctly percent-encoded")
		return
	}
	owner, err := s.system.Owner(service, key)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, owner)
}

func (s *Server) getSessions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, SessionsReply{Sessions: s.system.Sessions()})
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, LoadReply{Servers: s.system.Load()})
}

func (s *Server) getTimeline(w http.ResponseWriter, r *http.Request) {
	since, ok := queryNumber(w, r, "since")
	if !ok {
		return
	}
	writeJSON(w, http.StatusOK, TimelineReply{Events: s.system.Events(since)})
}
