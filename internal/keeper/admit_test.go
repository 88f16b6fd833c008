package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// newPrimary returns a Keeper that is the primary and only lessor of a session.
func newPrimary(t *testing.T, values settings.Values) *Keeper {
	t.Helper()
	deps := Deps{
		Host:        "h1",
		Incarnation: "i",
		View:        view.New(),
		Events:      timeline.NewRecorder("h1", 16, time.Now),
		Hosts:       func() []string { return nil },
		Witness:     func(string, string, []string) string { return "" },
		Clock:       func() time.Duration { return time.Hour },
	}
	session := &ownership.Session{
		ID: 7, Service: "revize", Zone: "zlin", Addr: "10.0.0.1:1", Incarnation: "s", Version: 7, LessorsSince: 7,
		Lessors: []record.Lessor{{Host: "h1", Incarnation: "i"}},
	}
	k := New(deps, session, values, nil)
	k.lessor.RequestPrimary(time.Hour)
	assert.Assert(t, k.lessor.IsPrimary(time.Hour))
	return k
}

func TestAdmit(t *testing.T) {
	key := ownership.SliceKey{Service: "revize", Slice: 3}
	checked := settings.Defaults()
	unchecked := settings.Defaults()
	unchecked.ChecksEpochs = false
	for _, test := range []struct {
		name   string
		values settings.Values
		state  func(k *Keeper)
		want   Admission
	}{
		{"held", checked, func(k *Keeper) { k.holds[3] = 14 },
			Admission{Allowed: true, Addr: "10.0.0.1:1", Epoch: 14, Session: 7}},
		{"not held", checked, func(*Keeper) {}, Admission{}},
		{"handed over", checked, func(k *Keeper) { k.activated[key] = activation{epoch: 14, successor: 9} },
			Admission{Successor: 9}},
		{"handed over and returned", checked, func(k *Keeper) {
			k.activated[key] = activation{epoch: 14, successor: 9}
			k.holds[3] = 27
		}, Admission{Allowed: true, Addr: "10.0.0.1:1", Epoch: 27, Session: 7}},
		{"handed over and assigned again, not confirmed yet", checked, func(k *Keeper) {
			k.activated[key] = activation{epoch: 14, successor: 9}
			k.handovers = map[ownership.SliceKey]Handover{key: {Key: key, Epoch: 36}}
		}, Admission{}},
		{"about to move", checked, func(k *Keeper) {
			k.holds[3] = 14
			k.handovers = map[ownership.SliceKey]Handover{key: {Key: key, Epoch: 14, Successor: 9, Moving: true}}
			k.reachable[9] = time.Hour
		}, Admission{}},
		{"about to move, successor unreachable", checked, func(k *Keeper) {
			k.holds[3] = 14
			k.handovers = map[ownership.SliceKey]Handover{key: {Key: key, Epoch: 14, Successor: 9, Moving: true}}
			k.reachable[9] = time.Hour - time.Second
		}, Admission{Allowed: true, Addr: "10.0.0.1:1", Epoch: 14, Session: 7}},
		{"about to move, requests of the former primary may still run", unchecked, func(k *Keeper) {
			k.holds[3] = 14
			k.handovers = map[ownership.SliceKey]Handover{key: {Key: key, Epoch: 14, Successor: 9, Moving: true}}
			k.reachable[9] = time.Hour
			k.primarySince = time.Hour - time.Second
		}, Admission{Allowed: true, Addr: "10.0.0.1:1", Epoch: 14, Session: 7}},
		{"server unresponsive, checks epochs", checked, func(k *Keeper) { k.holds[3], k.unresponsive = 14, true },
			Admission{Allowed: true, Addr: "10.0.0.1:1", Epoch: 14, Session: 7}},
		{"server unresponsive, does not check epochs", unchecked, func(k *Keeper) { k.holds[3], k.unresponsive = 14, true }, Admission{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			k := newPrimary(t, test.values)
			test.state(k)
			assert.DeepEqual(t, k.BeginSend(3), test.want)
		})
	}
}
