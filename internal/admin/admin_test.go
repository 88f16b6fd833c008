package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// file is a settings file with one keyed service.
const file = "[service.revize]\nkeyed = true\n"

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func serve(t *testing.T, system System, auth Authenticator) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(system, auth))
	t.Cleanup(server.Close)
	return server.URL
}

func serveOperator(t *testing.T, system System) *Client {
	t.Helper()
	return NewClient(serve(t, system, AllowAll{"anna", RoleOperator}), "", http.DefaultClient)
}

func testDirectory(t *testing.T) *Directory {
	t.Helper()
	text := fmt.Sprintf("[[token]]\nname='anna'\nrole='operator'\nsha256='%s'\n[[token]]\nname='bela'\nrole='viewer'\nsha256='%s'\n", digest("t-anna"), digest("t-bela"))
	directory, err := ParseDirectory([]byte(text))
	assert.NilError(t, err)
	return directory
}

func TestRolesAreEnforced(t *testing.T) {
	reads := []string{"/v1/admin/settings", "/v1/admin/settings/effective?path=", "/v1/admin/settings/status", "/v1/admin/marks", "/v1/admin/owners/revize/k", "/v1/admin/sessions", "/v1/admin/load", "/v1/admin/hosts", "/v1/admin/timeline", "/debug/vars"}
	writes := map[string]string{
		"/v1/admin/settings/publish": file,
		"/v1/admin/marks":            `{"subject":"host","name":"h1","state":"leaving"}`,
	}
	for _, c := range []struct {
		name, header string
		read, write  int
		appended     int
	}{
		{"no token", "", 401, 401, 0},
		{"wrong token", "Bearer t-anna2", 401, 401, 0},
		{"digest as token", "Bearer " + digest("t-anna"), 401, 401, 0},
		{"wrong scheme", "Basic t-anna", 401, 401, 0},
		{"viewer", "Bearer t-bela", 200, 403, 0},
		{"operator", "Bearer t-anna", 200, 202, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			system := newFakeSystem()
			base := serve(t, system, testDirectory(t))
			for _, path := range reads {
				assert.Equal(t, send(t, http.MethodGet, base+path, c.header, ""), c.read, path)
			}
			for path, body := range writes {
				assert.Equal(t, send(t, http.MethodPost, base+path, c.header, body), c.write, path)
			}
			assert.Equal(t, len(system.authors), c.appended)
			for _, author := range system.authors {
				assert.Equal(t, author, "anna")
			}
		})
	}
}

// send sends a request and returns the status of the answer.
func send(t *testing.T, method, target, authorization, body string) int {
	t.Helper()
	req, err := http.NewRequest(method, target, strings.NewReader(body))
	assert.NilError(t, err)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

func TestPrincipalsFileFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[[token]]\nname='a'\nrole='root'\nsha256=''":    "unknown role",
		"[[token]]\nname='a'\nrole='viewer'\nsha256='x'": "no SHA-256 digest",
		"[[token]]\nrole='viewer'":                       "without a name",
		"[[certificate]]\nname='a'\nrole=''":             "unknown role",
		"[[tokens]]\nname='a'":                           "strict mode",
	} {
		_, err := ParseDirectory([]byte(text))
		assert.ErrorContains(t, err, want)
	}
}

func TestPublicationsAreAnsweredWithTheirResult(t *testing.T) {
	ctx := context.Background()
	system := newFakeSystem()
	client := serveOperator(t, system)

	accepted := client.PublishSettings(ctx, "a", 0, "", []byte(file))
	assert.Equal(t, accepted.Status, publish.Accepted)
	version := accepted.Offset

	again := client.PublishSettings(ctx, "b", 0, "", []byte(file))
	assert.Equal(t, again.Status, publish.Accepted)
	assert.Equal(t, again.Reason, "nothing to change")

	later := client.PublishSettings(ctx, "c", version, "", []byte(file+"slots = 5\n"))
	assert.Equal(t, later.Status, publish.Accepted)
	stale := client.PublishSettings(ctx, "d", version, "", []byte(file+"slots = 6\n"))
	assert.Equal(t, stale.Status, publish.Refused)
	assert.Equal(t, len(stale.Conflicts), 1)
	assert.Equal(t, stale.Conflicts[0].Version, later.Offset)

	faulty := client.PublishSettings(ctx, "e", 0, "", []byte("[service.revize]\nkeyed = true\nslices = 0\n"))
	assert.Equal(t, faulty.Status, publish.NotAppended)
	assert.Assert(t, strings.Contains(faulty.Reason, "line 3: revize.slices"), faulty.Reason)
	assert.Equal(t, len(system.seen), 2)
}

func TestAnUnknownResultIsResolvedByRepeatingTheID(t *testing.T) {
	ctx := context.Background()
	system := newFakeSystem()
	client := serveOperator(t, system)
	system.loseAnswer = true
	assert.Equal(t, client.PublishSettings(ctx, "a", 0, "", []byte(file)).Status, publish.Unknown)
	mark := MarkRequest{ID: "m", Subject: record.SubjectHost, Name: "h1", State: record.MarkLeaving}
	reply, err := client.SetMark(ctx, mark)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, publish.Unknown)

	system.loseAnswer = false
	assert.Equal(t, client.PublishSettings(ctx, "a", 0, "", []byte(file)).Status, publish.Accepted)
	reply, err = client.SetMark(ctx, mark)
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, publish.Accepted)
	assert.Equal(t, len(system.authors), 2)
}

func TestMarksAreChecked(t *testing.T) {
	system := newFakeSystem()
	client := serveOperator(t, system)
	for _, request := range []MarkRequest{
		{Subject: "planet", Name: "z", State: record.MarkLeaving},
		{Subject: record.SubjectZone, Name: "z", State: "gone"},
		{Subject: record.SubjectZone, State: record.MarkLost},
		{Subject: record.SubjectZone, Name: "z", State: record.MarkLeaving},
	} {
		reply, err := client.SetMark(context.Background(), request)
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, publish.NotAppended)
		assert.Assert(t, reply.Reason != "")
	}
	assert.Equal(t, len(system.authors), 0)
}

func TestInForceMeansOnEveryHost(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts []HostStatus
		want  bool
	}{
		{"none", nil, false},
		{"all", []HostStatus{{Reachable: true, Applied: 4}, {Reachable: true, Applied: 5}}, true},
		{"one behind", []HostStatus{{Reachable: true, Applied: 4}, {Reachable: true, Applied: 3}}, false},
		{"one unreachable", []HostStatus{{Reachable: true, Applied: 4}, {Applied: 4}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, inForce(4, c.hosts), c.want)
		})
	}
}

func TestReads(t *testing.T) {
	ctx := context.Background()
	system := newFakeSystem()
	client := serveOperator(t, system)
	client.PublishSettings(ctx, "a", 0, "", []byte(file))
	system.events.Record(timeline.Event{Kind: timeline.KindLogDown})

	tree, err := client.Settings(ctx)
	assert.NilError(t, err)
	assert.Equal(t, tree.TOML, "based_on = 1\n\n[service.revize]\nkeyed = true\n")
	effective, err := client.Effective(ctx, "revize")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(effective.TOML, "lead_ttl = \"400ms\"\n"))
	diff, err := client.Diff(ctx, []byte(file+"slots = 5\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(diff.Diffs), 1)
	owner, err := client.Owner(ctx, "revize", "a/b c?%")
	assert.NilError(t, err)
	assert.Equal(t, owner.Key, "a/b c?%")
	events, err := client.Timeline(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events.Events), 1)

	var status *StatusError
	_, err = client.Owner(ctx, "archiv", "k")
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, status.Status, http.StatusNotFound)
	_, err = client.Effective(ctx, "revise")
	assert.ErrorContains(t, err, `did you mean "revize"?`)
	_, err = client.History(ctx)
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, status.Status, http.StatusServiceUnavailable)
}

func TestALostAnswerLeavesThePublicationUnknown(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"connection lost": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"balancer's 502":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
		"balancer's 503":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"cut answer":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"status":`)) },
		"empty success":   func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			reply := NewClient(server.URL, "", http.DefaultClient).PublishSettings(context.Background(), "a", 0, "", []byte(file))
			assert.Equal(t, reply.Status, publish.Unknown)
			assert.Equal(t, reply.ID, record.ID("a"))
		})
	}
}

func TestPublicationThatWasNotAppendedIsReportedSo(t *testing.T) {
	system := newFakeSystem()
	system.appendErr = errors.New("still starting")
	reply := serveOperator(t, system).PublishSettings(context.Background(), "a", 0, "", []byte(file))
	assert.Equal(t, reply.Status, publish.NotAppended)
	assert.Equal(t, reply.Reason, "still starting")
}
