package settings

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// sampleState returns a state with the sample tree published at offset 1.
func sampleState(t *testing.T) *State {
	t.Helper()
	state := NewState()
	decision := state.Apply(1, state.Change(mustParse(t, sample), ""))
	assert.Equal(t, decision.Kind, Accepted, decision.Reason())
	return state
}

// set returns a record that sets the values of one node.
func set(path string, base logservice.Offset, text string) record.Settings {
	return record.Settings{Nodes: []record.SettingsNode{{Path: path, Base: base, TOML: text}}}
}

func TestOfTwoRecordsOnOneBaseTheFirstIsAccepted(t *testing.T) {
	state := sampleState(t)
	assert.Assert(t, state.Apply(5, set("archiv", 1, "slots = 3\n")).Accepted())
	decision := state.Apply(6, set("archiv", 1, "slots = 9\n"))
	assert.Equal(t, decision.Kind, Conflicting)
	assert.DeepEqual(t, decision.Conflicts, []Conflict{{Path: "archiv", Base: 1, Version: 5}})
	values, err := state.Effective("archiv")
	assert.NilError(t, err)
	assert.Equal(t, values.Slots, 3)
	assert.Equal(t, int(state.Version()), 5)
}

func TestChangesOfDifferentNodesDoNotConflict(t *testing.T) {
	state := sampleState(t)
	assert.Assert(t, state.Apply(5, set("archiv", 1, "slots = 3\n")).Accepted())
	assert.Assert(t, state.Apply(6, set("revize", 1, "keyed = true\nslices = 128\nslots = 3\n")).Accepted())
}

func TestARecordIsAcceptedWholeOrNotAtAll(t *testing.T) {
	state := sampleState(t)
	change := set("archiv", 1, "slots = 3\n")
	change.Nodes = append(change.Nodes, record.SettingsNode{Path: "revize", Base: 9, TOML: "keyed = true\n"})
	assert.Equal(t, state.Apply(5, change).Kind, Conflicting)
	values, err := state.Effective("archiv")
	assert.NilError(t, err)
	assert.Equal(t, values.Slots, 2)
	assert.Equal(t, int(state.NodeVersion("archiv")), 1)
}

func TestARemovedNodeKeepsItsVersion(t *testing.T) {
	state := sampleState(t)
	removal := record.Settings{Nodes: []record.SettingsNode{{Path: "archiv", Base: 1, Removed: true}}}
	assert.Assert(t, state.Apply(5, removal).Accepted())
	assert.Equal(t, state.Apply(6, set("archiv", 0, "")).Kind, Conflicting)
	assert.Assert(t, state.Apply(7, set("archiv", 5, "")).Accepted())
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	removed := func(path string) record.Settings {
		return record.Settings{Nodes: []record.SettingsNode{{Path: path, Base: 1, Removed: true}}}
	}
	twice := set("archiv", 1, "")
	twice.Nodes = append(twice.Nodes, twice.Nodes...)
	rootRemoved := removed(Root)
	for _, c := range []struct {
		name   string
		change record.Settings
		want   string
	}{
		{"nothing", record.Settings{}, "changes no node"},
		{"node twice", twice, "changed twice"},
		{"bad path", set("a//b", 0, ""), "not a path"},
		{"deep path", set("a/b/c/d", 0, ""), "not a path"},
		{"orphan", set("x/y", 0, ""), "the parent x does not exist"},
		{"parent removed", removed("revize"), "the parent revize does not exist"},
		{"root removed", rootRemoved, "cannot be removed"},
		{"table in a node", set("archiv", 1, "[defaults]\n"), "a table is not allowed"},
		{"value", set("archiv", 1, "slots = 0\n"), "line 1: archiv.slots: 0 is outside"},
		{"relation of a child", set("revize", 1, "keyed = true\nslices = 128\nconnections = 5\n"), "revize/morava/brno-sever.slots: connections 5 is less than slots 6"},
		{"slices", set("revize", 1, "keyed = true\nslices = 64\n"), "revize.slices: is 128 and cannot change"},
		{"keyed", set("revize", 1, ""), "revize.keyed: is true and cannot change"},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := sampleState(t)
			decision := state.Apply(5, c.change)
			assert.Equal(t, decision.Kind, Invalid)
			assert.ErrorContains(t, decision.Faults, c.want)
			assert.Equal(t, int(state.Version()), 1)
		})
	}
}

func TestACloneIsNotChanged(t *testing.T) {
	state := sampleState(t)
	clone := state.Clone()
	assert.Assert(t, state.Apply(5, set("archiv", 1, "slots = 3\n")).Accepted())
	assert.Equal(t, int(clone.NodeVersion("archiv")), 1)
	assert.Equal(t, int(clone.Version()), 1)
}

func TestASnapshotRestoresTheState(t *testing.T) {
	state := sampleState(t)
	removal := record.Settings{Nodes: []record.SettingsNode{{Path: "archiv", Base: 1, Removed: true}}}
	assert.Assert(t, state.Apply(5, removal).Accepted())
	data, err := json.Marshal(state)
	assert.NilError(t, err)
	restored := NewState()
	assert.NilError(t, json.Unmarshal(data, restored))
	again, err := json.Marshal(restored)
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
	assert.Equal(t, len(Diff(state.Tree(), restored.Tree())), 0)
	assert.Equal(t, restored.Apply(6, set("archiv", 0, "")).Kind, Conflicting)
	assert.Equal(t, restored.Apply(6, set("revize", 1, "")).Kind, Invalid)
}

func TestABadSnapshotLeavesTheStateAsItWas(t *testing.T) {
	for _, data := range []string{`{"nodes":[{"path":"A","version":1}]}`, `{"nodes":[{"path":"a","toml":"slots = 0"}]}`, `{"nodes":[{"path":"a/b"}]}`, `{"nodes":1}`} {
		state := sampleState(t)
		err := json.Unmarshal([]byte(data), state)
		assert.Assert(t, errors.Is(err, ErrBadSnapshot), "%s: %v", data, err)
		assert.Equal(t, int(state.Version()), 1)
	}
}

func TestChangeTurnsOneTreeIntoAnother(t *testing.T) {
	state := sampleState(t)
	target := mustParse(t, "[defaults]\nslots = 2\n[service.revize]\nkeyed = true\nslices = 128\n[service.new]\n")
	change := state.Change(target, "smaller")
	assert.Equal(t, len(ChangedSince(0, change)), 5)
	assert.Equal(t, len(ChangedSince(1, change)), 0)
	assert.Assert(t, state.Apply(9, change).Accepted())
	assert.Equal(t, len(Diff(state.Tree(), target)), 0)
	assert.Equal(t, len(state.Change(target, "").Nodes), 0)
}

// FuzzApply applies one arbitrary record to two equal states. Both must decide
// alike, the tree must stay valid, and a snapshot of the state must be restorable.
func FuzzApply(f *testing.F) {
	f.Add("archiv", uint64(1), "slots = 3", false, "revize", "keyed = true")
	f.Add("", uint64(1), "slots = 1\n", false, "x/y/z", "servers = []")
	f.Add("archiv", uint64(1), "", true, "archiv/a", "[x]")
	f.Fuzz(func(t *testing.T, path string, base uint64, text string, removed bool, path2, text2 string) {
		state := sampleState(t)
		other := sampleState(t)
		change := record.Settings{Nodes: []record.SettingsNode{
			{Path: path, Base: logservice.Offset(base), TOML: text, Removed: removed},
			{Path: path2, TOML: text2},
		}}
		decision := state.Apply(2, change)
		assert.DeepEqual(t, decision, other.Apply(2, change))
		assert.Equal(t, len(state.Tree().check()), 0)
		data, err := json.Marshal(state)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(data, other))
	})
}

// BenchmarkApply measures a change of the service's values in a tree with many
// backend servers.
func BenchmarkApply(b *testing.B) {
	for _, servers := range []int{300, 3_000, 12_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			tree := "[service.s]\nkeyed = true\n"
			for zone := range 4 {
				tree += fmt.Sprintf("[service.s.place.p.zone.z%d]\nservers = [", zone)
				for i := range servers / 4 {
					tree += fmt.Sprintf("\"10.%d.%d.%d:80\", ", zone, i/250, i%250)
				}
				tree += "]\n"
			}
			parsed, err := Parse([]byte(tree))
			assert.NilError(b, err)
			state := NewState()
			assert.Assert(b, state.Apply(1, state.Change(parsed, "")).Accepted())
			base := logservice.Offset(1)
			for b.Loop() {
				decision := state.Apply(base+1, set("s", base, "keyed = true\nslots = 5\n"))
				assert.Assert(b, decision.Accepted())
				base++
			}
		})
	}
}
