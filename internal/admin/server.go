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
	// maxBodyBytes is the largest size of a request's body.
	maxBodyBytes = 4 << 20
	// maxIDBytes is the largest length of a publication's ID.
	maxIDBytes = 64
	// publishTimeout bounds the wait for the result of a publication.
	publishTimeout = 8 * time.Second
	// historyTimeout bounds reading the history from the log.
	historyTimeout = 5 * time.Second
)

// Server serves the administration API.
type Server struct {
	system System
	auth   Authenticator
}

// NewHandler returns the HTTP handler of the API for a system. Every request must
// authenticate with auth.
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

// handle adds a route that requires a role. It answers 401 without valid credentials
// and 403 if the principal lacks the role.
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

// writeJSON answers with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "encode reply: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected; there is nobody left to answer.
	_, _ = w.Write(append(data, '\n'))
}

// writeError answers with a status and an ErrorReply.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorReply{Error: message})
}

// writeFailure answers 404 for an error marked ErrNotFound, 503 for any other.
func writeFailure(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrNotFound) {
		status = http.StatusNotFound
	}
	writeError(w, status, err.Error())
}

// readBody returns the request's body. If it cannot be read or is too large, readBody
// answers with an error and returns false.
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

// queryNumber returns a query parameter that is a number, zero if it is absent. If it is
// not a number, queryNumber answers with an error and returns false.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, name+" is not an unsigned number: "+strconv.Quote(text))
	}
	return number, err == nil
}

// recordID returns the ID that a request names, or a new one if it names none. If the ID
// is too long, recordID answers with an error and returns false.
func recordID(w http.ResponseWriter, requested record.ID) (record.ID, bool) {
	if requested == "" {
		return record.NewID(), true
	}
	if len(requested) > maxIDBytes {
		writeError(w, http.StatusBadRequest, "the ID is longer than "+strconv.Itoa(maxIDBytes)+" bytes")
		return "", false
	}
	return requested, true
}
