package overview

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/members"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/standin"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

const (
	tree    = "[service.revize]\nkeyed = true\nslices = 4\n[service.revize.place.m.zone.zlin]\nservers = [\"127.0.0.1:9101\"]\n"
	address = "127.0.0.1:9101"
)

// startHost serves the API for a view that follows a stand-in log. The returned host
// list is what the API shows; tests may change it.
func startHost(t *testing.T) (*admin.Client, logservice.Log, *[]members.Host) {
	t.Helper()
	standinLog := standin.NewLog(standin.LogConfig{Listen: "127.0.0.1:0"})
	address, err := standinLog.Start()
	assert.NilError(t, err)
	log := logservice.NewClient("http://"+address, "", &http.Client{})
	followed := view.New()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		view.NewFollower(followed, log, func(bool) {}).Run(ctx)
	}()
	hosts := &[]members.Host{}
	overview := New(Sources{
		Host:      "h1",
		View:      followed,
		Log:       log,
		Publisher: publish.NewWithView(followed, log, "h1", time.Now),
		Events:    timeline.NewRecorder("h1", 10, time.Now),
		Members:   func() []members.Host { return *hosts },
		Primary:   func(record.SessionID) string { return "h2" },
		Load:      func() []admin.ServerLoad { return nil },
		Now:       time.Now,
	})
	server := httptest.NewServer(admin.NewHandler(overview, admin.AllowAll{Name: "anna", Role: admin.RoleOperator}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
		assert.NilError(t, standinLog.Close())
	})
	return admin.NewClient(server.URL, "", http.DefaultClient), log, hosts
}

// appendRecord appends a record and waits until the host has applied it.
func appendRecord(t *testing.T, client *admin.Client, log logservice.Log, r record.Record) logservice.Offset {
	t.Helper()
	data, err := record.Encode(r)
	assert.NilError(t, err)
	offset, err := log.Append(context.Background(), data)
	assert.NilError(t, err)
	for range 200 {
		reply, err := client.Settings(context.Background())
		assert.NilError(t, err)
		if reply.Applied >= offset {
			return offset
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("the host has not applied offset %d", offset)
	return 0
}

func TestOperatorsSeeSettingsMarksOwnersAndSessions(t *testing.T) {
	ctx := context.Background()
	client, log, _ := startHost(t)
	reply := client.PublishSettings(ctx, "a", 0, "first", []byte(tree))
	assert.Equal(t, reply.Status, publish.Accepted, reply.Reason)
	reply = client.PublishSettings(ctx, "a", 0, "first", []byte(tree))
	assert.Equal(t, reply.Offset, logservice.Offset(1))

	owner, err := client.Owner(ctx, "revize", "k")
	assert.NilError(t, err)
	assert.Equal(t, owner.Session, record.SessionID(0))
	_, err = client.Owner(ctx, "archiv", "k")
	assert.ErrorContains(t, err, "404")

	session := record.SessionID(appendRecord(t, client, log, record.Record{ID: "open", Kind: record.KindOpen, Open: &record.Open{
		Service: "revize", Zone: "zlin", Addr: address, Incarnation: "i1",
		Lessors: []record.Lessor{{Host: "h1", Incarnation: "x", PeerAddr: "127.0.0.1:1"}},
	}}))
	slice := ownership.SliceOf("k", 4)
	appendRecord(t, client, log, record.Record{ID: "plan", Kind: record.KindPlan, Plan: &record.Plan{
		Service: "revize", Slices: []record.SlicePlan{{Slice: slice, Owner: session}},
	}})
	owner, err = client.Owner(ctx, "revize", "k")
	assert.NilError(t, err)
	assert.Equal(t, owner.Server, address)
	assert.Equal(t, owner.Lead, "h2")
	sessions, err := client.Sessions(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(sessions.Sessions), 1)
	assert.Equal(t, sessions.Sessions[0].Slices, 1)

	mark, err := client.SetMark(ctx, admin.MarkRequest{ID: "m", Subject: record.SubjectZone, Name: "zlin", State: record.MarkLeaving})
	assert.NilError(t, err)
	assert.Equal(t, mark.Status, publish.Accepted, mark.Reason)
	marks, err := client.Marks(ctx)
	assert.NilError(t, err)
	assert.Equal(t, marks.Marks[0].Version, mark.Offset)
	history, err := client.History(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Entries), 2)
	assert.Equal(t, history.Entries[1].Record.Author, "anna")
}

func TestSettingsAreInForceOnlyIfEveryHostHasAppliedThem(t *testing.T) {
	ctx := context.Background()
	client, _, hosts := startHost(t)
	client.PublishSettings(ctx, "a", 0, "", []byte(tree))
	self := members.Host{HostEntry: logservice.HostEntry{Name: "h1"}}
	other := members.Host{HostEntry: logservice.HostEntry{Name: "h2"}, Applied: 1, Answered: time.Now()}
	behind, unresponsive := other, other
	behind.Applied = 0
	unresponsive.Answered = time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name  string
		other members.Host
		want  bool
	}{{"in force", other, true}, {"behind", behind, false}, {"unresponsive", unresponsive, false}} {
		t.Run(c.name, func(t *testing.T) {
			*hosts = []members.Host{self, c.other}
			status, err := client.Status(ctx)
			assert.NilError(t, err)
			assert.Equal(t, status.InForce, c.want)
		})
	}
}
