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

func (s *Server) setMark(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var request MarkRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, http.StatusBadRequest, "mark: "+err.Error())
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
	present := s.presentMark(request.Subject, request.Name)
	if present.State == request.State {
		writeResult(w, publish.NothingToChange(id, present.Version))
		return
	}
	s.publish(w, r, publish.MarkRecord(id, request.Mark(), present.Version))
}

// presentMark returns the mark in force on a subject.
func (s *Server) presentMark(subject record.Subject, name string) Mark {
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
		writeError(w, http.StatusBadRequest, "malformed path")
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
