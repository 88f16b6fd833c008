package standin

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

const testTimeout = 5 * time.Second

// startable is a stand-in that a test starts and closes.
type startable interface {
	Start() (string, error)
	Close() error
}

func start(t *testing.T, s startable) string {
	t.Helper()
	addr, err := s.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return addr
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startLog(t *testing.T, faults LogFaults) (*Log, *logservice.Client) {
	l := NewLog(LogConfig{Listen: "127.0.0.1:0", Faults: faults})
	addr := start(t, l)
	return l, logservice.NewClient("http://"+addr, "", &http.Client{Transport: &http.Transport{}})
}

func appendAll(t *testing.T, client *logservice.Client, texts ...string) {
	t.Helper()
	for _, text := range texts {
		_, err := client.Append(testContext(t), []byte(text))
		assert.NilError(t, err)
	}
}

func TestLogReturnsAppendedEntries(t *testing.T) {
	_, client := startLog(t, LogFaults{})
	appendAll(t, client, "a", "b", "c")
	reply, err := client.Read(testContext(t), 2, 1, 0)
	assert.NilError(t, err)
	want := logservice.ReadReply{Entries: []logservice.Entry{{Offset: 2, Data: []byte("b")}}, First: 1, Next: 4}
	assert.DeepEqual(t, reply, want)
}

func TestLogReadWaitsForAnAppend(t *testing.T) {
	l, client := startLog(t, LogFaults{})
	time.AfterFunc(50*time.Millisecond, func() { l.store.append(logservice.Stream, []byte("late"), 0) })
	reply, err := client.Read(testContext(t), 1, 10, testTimeout)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Entries), 1)
}

func TestLogTrimsToItsRetention(t *testing.T) {
	_, client := startLog(t, LogFaults{Retain: 2})
	appendAll(t, client, "a", "b", "c")
	reply, err := client.Read(testContext(t), 1, 10, 0)
	assert.Assert(t, errors.Is(err, logservice.ErrTrimmed), "got %v", err)
	assert.Equal(t, reply.First, logservice.Offset(2))
	reply, err = client.Read(testContext(t), reply.First, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Entries), 2)
}

// TestLogFaults checks that an append fails for the client under each fault, and
// whether it is stored nevertheless.
func TestLogFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults LogFaults
		stored int
	}{
		"down":         {LogFaults{Down: DownRefuse}, 0},
		"hanging":      {LogFaults{Down: DownHang}, 0},
		"lost answers": {LogFaults{LoseEvery: 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l, client := startLog(t, test.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := client.Append(ctx, []byte("a"))
			assert.Assert(t, errors.Is(err, logservice.ErrUnavailable), "got %v", err)
			l.SetFaults(LogFaults{})
			reply, err := client.Read(testContext(t), 1, 10, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(reply.Entries), test.stored)
		})
	}
}

func TestLogRejectsAppendsAboveItsRate(t *testing.T) {
	_, client := startLog(t, LogFaults{AppendsPerSecond: 1})
	appendAll(t, client, "a")
	_, err := client.Append(testContext(t), []byte("b"))
	assert.Assert(t, errors.Is(err, logservice.ErrUnavailable), "got %v", err)
}

// TestHostListLags checks that a change becomes visible only after the lag.
func TestHostListLags(t *testing.T) {
	h := NewHostList(HostListConfig{Listen: "127.0.0.1:0", Faults: HostListFaults{LagMS: 200}})
	client := logservice.NewClient("", "http://"+start(t, h), http.DefaultClient)
	entry := logservice.HostEntry{Name: "h1", Zone: "zlin", State: logservice.HostLive}
	assert.NilError(t, client.Announce(testContext(t), entry))
	list, err := client.List(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, len(list.Hosts), 0)
	time.Sleep(250 * time.Millisecond)
	list, err = client.List(testContext(t))
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Hosts, []logservice.HostEntry{entry})
}
