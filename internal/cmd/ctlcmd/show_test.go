package ctlcmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// startAdmin serves fixed replies by path below the API's prefix, to bearers of the token "t".
func startAdmin(t *testing.T, replies map[string]any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply, known := replies[strings.TrimPrefix(r.URL.Path, admin.PathPrefix)]
		switch {
		case r.Header.Get("Authorization") != "Bearer t":
			w.WriteHeader(http.StatusUnauthorized)
		case !known:
			w.WriteHeader(http.StatusNotFound)
		default:
			assert.Check(t, json.NewEncoder(w).Encode(reply))
		}
	}))
	t.Cleanup(server.Close)
	token := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(token, []byte("t\n"), 0o600))
	t.Setenv(tokenFileVariable, token)
	return " -admin " + strings.TrimPrefix(server.URL, "http://") + " "
}

func TestOwnersOfAKeyInAllKeyedServices(t *testing.T) {
	host := startAdmin(t, map[string]any{
		"/settings":         admin.SettingsReply{TOML: keyedService + "[service.archiv]\n"},
		"/owners/revize/k1": admin.Owner{Service: "revize", Slice: 7, Server: "127.0.0.1:9101", Zone: "zlin", Session: 5, Epoch: 10},
	})
	got := ctl(t, "show owners k1"+host)
	assert.Equal(t, got.code, cli.ExitOK, got.stderr)
	assert.Equal(t, got.stdout, "SERVICE  SLICE  SERVER          ZONE  SESSION  EPOCH  LEAD  SUCCESSOR  MOVING\n"+
		"revize   7      127.0.0.1:9101  zlin  5        10     -     -          false\n")
	assert.Assert(t, strings.Contains(ctl(t, "show owners k1 -json"+host).stdout, `"slice": 7`))
	assert.Equal(t, ctl(t, "show owners k2"+host).code, cli.ExitFailure)
}

func TestStatusFailsUntilInForceEverywhere(t *testing.T) {
	reply := admin.StatusReply{SettingsVersion: 4, Hosts: []admin.HostStatus{{Host: "h1", Zone: "zlin", State: "live"}}}
	got := ctl(t, "settings status -wait 100ms"+startAdmin(t, map[string]any{"/settings/status": reply}))
	assert.Equal(t, got.code, cli.ExitFailure)
	assert.Assert(t, strings.HasPrefix(got.stdout, "settings version 4: not in force everywhere\n"), got.stdout)
	reply.InForce = true
	reply.LogSilenceMS = 7_000
	got = ctl(t, "settings status"+startAdmin(t, map[string]any{"/settings/status": reply}))
	assert.Equal(t, got.code, cli.ExitOK)
	assert.Assert(t, strings.Contains(got.stdout, "the log has not answered this host for 7s"), got.stdout)
}

func TestTimelineMergesHostsAndFiles(t *testing.T) {
	slice := timeline.SliceNumber(7)
	host := startAdmin(t, map[string]any{
		"/owners/revize/k1": admin.Owner{Slice: 7},
		"/timeline": admin.TimelineReply{Events: []timeline.Event{
			{Host: "h1", Seq: 1, Offset: 9, Kind: timeline.KindSliceActivated, Service: "revize", Slice: slice},
		}},
	})
	file := writeFile(t, `{"host":"h2","seq":1,"offset":8,"kind":"slice-dropped","service":"revize","slice":7}`+"\nnonsense\n")
	got := ctl(t, "timeline -service revize -key k1"+host+file)
	assert.Equal(t, got.code, cli.ExitOK, got.stderr)
	lines := strings.Split(got.stdout, "\n")
	assert.Equal(t, len(lines), 3)
	assert.Assert(t, strings.Contains(lines[0], "slice-dropped") && strings.Contains(lines[1], "slice-activated"))
	assert.Assert(t, strings.Contains(got.stderr, ":2: not an event"))

	plot := filepath.Join(t.TempDir(), "events.svg")
	assert.Equal(t, ctl(t, "timeline -plot "+plot+host+file).code, cli.ExitOK)
	image, err := os.ReadFile(plot)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(image), "<svg"))

	partial := ctl(t, "timeline -admin 127.0.0.1:1 "+file)
	assert.Equal(t, partial.code, cli.ExitFailure)
	assert.Assert(t, strings.Contains(partial.stdout, "slice-dropped"))
}

func TestTimingIsThatOfTheSlowestHost(t *testing.T) {
	all := newTimings([]publish.HistoryEntry{
		{Offset: 3, Accepted: true, Record: record.Record{TimeMS: 1_000, Settings: &record.Settings{}}},
		{Offset: 4, Record: record.Record{TimeMS: 1_500, Settings: &record.Settings{}}},
		{Offset: 5, Accepted: true, Record: record.Record{TimeMS: 2_000, Settings: &record.Settings{}}},
		{Offset: 6, Accepted: true, Record: record.Record{TimeMS: 3_000, Settings: &record.Settings{}}},
	})
	inForce := func(offset logservice.Offset, timeMS int64) timeline.Event {
		return timeline.Event{Kind: timeline.KindSettingsInForce, Offset: offset, TimeMS: timeMS}
	}
	all.addHost([]timeline.Event{inForce(3, 1_004), inForce(5, 2_003), inForce(6, 3_010)})
	all.addHost([]timeline.Event{inForce(5, 2_020)})
	var out bytes.Buffer
	assert.NilError(t, all.print(&out))
	lines := strings.Split(out.String(), "\n")
	assert.Equal(t, len(lines), 6)
	assert.Assert(t, strings.HasSuffix(lines[1], "1020ms          0"), lines[1])
	assert.Assert(t, strings.HasSuffix(lines[3], "-               1"), lines[3])
	assert.Equal(t, lines[4], "2 versions: p50 20ms, p99 1020ms, max 1020ms")
}

func TestLoadIsThatOfAllNamedHosts(t *testing.T) {
	host := startAdmin(t, map[string]any{"/load": admin.LoadReply{Servers: []admin.ServerLoad{{Service: "archiv", Server: "127.0.0.1:9151", LatencyMS: 5}}}})
	address := strings.Fields(host)[1]
	got := ctl(t, "show load -admin "+address+","+address)
	assert.Equal(t, got.code, cli.ExitOK, got.stderr)
	assert.Equal(t, strings.Count(got.stdout, "127.0.0.1:9151"), 2)
	assert.Equal(t, ctl(t, "show load -admin "+address+",127.0.0.1:1").code, cli.ExitFailure)
}
