package admin

import (
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 4 << 20
	// maxIDBytes bounds the ID that a publication names.
	maxIDBytes = 64
	// publishTimeout bounds the wait for the result of a publication.
	publishTimeout = 8 * time.Second
	// readTimeout bounds everything else.
	readTimeout = 5 * time.Second
)

// Server serves the administration API.
type Server struct {
	system System
	auth   Authenticator
}

// NewHandler returns the API's handler for a system.
func NewHandler(system System, auth Authenticator) http.Handler {
	s := &Server{system: system, auth: auth}
	root := mux.NewRouter().UseEncodedPath()
	s.handle(root, http.MethodGet, PathMetrics, RoleViewer, expvar.Handler().ServeHTTP)
	api := root.PathPrefix(PathPrefix).Subrouter()
	s.handle(api, http.MethodGet, "/settings", RoleViewer, s.getSettings)
	s.handle(api, http.MethodGet, "/settings/effective", RoleViewer, s.getEffective)
	s.handle(api, http.MethodPost, "/settings/check", RoleViewer, s.checkSettings)
	s.handle(api, http.MethodPost, "/settings/diff", RoleViewer, s.diffSettings)
	s.handle(api, http.MethodPost, "/settings/publish", RoleOperator, s.publishSettings)
	s.handle(api, http.MethodGet, "/settings/history", RoleViewer, s.getHistory)
	s.handle(api, http.MethodGet, "/settings/status", RoleViewer, s.getStatus)
	s.handle(api, http.MethodGet, "/marks", RoleViewer, s.getMarks)
	s.handle(api, http.MethodPost, "/marks", RoleOperator, s.setMark)
	s.handle(api, http.MethodGet, "/owners/{service}/{key:.+}", RoleViewer, s.getOwner)
	s.handle(api, http.MethodGet, "/sessions", RoleViewer, s.getSessions)
	s.handle(api, http.MethodGet, "/load", RoleViewer, s.getLoad)
	s.handle(api, http.MethodGet, "/hosts", RoleViewer, s.getStatus)
	s.handle(api, http.MethodGet, "/timeline", RoleViewer, s.getTimeline)
	return root
}

// handle adds a route that only principals with the role may use.
func (s *Server) handle(router *mux.Router, method, path string, role Role, next http.HandlerFunc) {
	guarded := func(w http.ResponseWriter, r *http.Request) {
		principal, known := s.auth.Authenticate(r)
		switch {
		case !known:
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "a valid token or client certificate is required")
		case !principal.Role.includes(role):
			writeError(w, http.StatusForbidden, principal.Name+" lacks the role "+string(role))
		default:
			next(w, r.WithContext(withPrincipal(r.Context(), principal)))
		}
	}
	router.HandleFunc(path, guarded).Methods(method)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "encode reply: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client's connection may be gone; there is nobody to tell.
	_, _ = w.Write(append(data, '\n'))
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorReply{Error: message})
}

// writeFailure answers with the status that fits the error.
func writeFailure(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrNotFound) {
		status = http.StatusNotFound
	}
	writeError(w, status, err.Error())
}

// readBody returns the request's body, or answers and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
	case err != nil:
		writeError(w, http.StatusBadRequest, "read body: "+err.Error())
	}
	return body, err == nil
}

// queryNumber returns a query parameter that is a number, zero where it is absent.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, name+" is no number: "+strconv.Quote(text))
	}
	return number, err == nil
}

// recordID returns the ID that a request names, or a new one where it names none.
func recordID(w http.ResponseWriter, named record.ID) (record.ID, bool) {
	if named == "" {
		return record.NewID(), true
	}
	if len(named) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "the ID is longer than "+strconv.Itoa(maxIDBytes)+" bytes")
		return "", false
	}
	return named, true
}
