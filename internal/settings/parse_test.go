package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// sample is a settings file with an unkeyed service and a keyed one in two zones.
const sample = `based_on = 7

[defaults]
slots = 2
lead_ttl = "390ms"

[service.revize]
keyed = true
slices = 128

[service.revize.place.morava.zone.olomouc]
servers = [
  "127.0.0.1:9102", # second
]

[service.revize.place.morava.zone.brno-sever]
servers = ["127.0.0.1:9101"]
slots = 6

[service.archiv]
hedge_after = "20ms"
`

func mustParse(t *testing.T, text string) *Tree {
	t.Helper()
	tree, err := Parse([]byte(text))
	assert.NilError(t, err)
	return tree
}

func TestChildrenInheritAndOverride(t *testing.T) {
	tree := mustParse(t, sample)
	values, err := tree.Effective("revize/morava/brno-sever")
	assert.NilError(t, err)
	assert.Equal(t, values.Slots, 6)
	assert.Equal(t, values.LeadTTL, 390*time.Millisecond)
	assert.Equal(t, values.Slices, 128)
	assert.Equal(t, values.QueueLimit, Defaults().QueueLimit)

	place, err := tree.Effective("revize/morava")
	assert.NilError(t, err)
	assert.Equal(t, place.Slots, 2)

	_, err = tree.Effective("revize/morva")
	assert.Assert(t, errors.Is(err, ErrNoNode))
	assert.ErrorContains(t, err, `did you mean "revize/morava"?`)
}

func TestServicesAreOrderedByPath(t *testing.T) {
	services := mustParse(t, sample).Services()
	assert.Equal(t, len(services), 2)
	assert.Equal(t, services[0].Name, "archiv")
	assert.Equal(t, services[1].Name, "revize")
	zones := services[1].Zones
	assert.Equal(t, len(zones), 2)
	assert.Equal(t, zones[0].Name, "brno-sever")
	assert.Equal(t, zones[0].Place, "morava")
	assert.DeepEqual(t, zones[1].Servers, []string{"127.0.0.1:9102"})
}

func TestTextOfATreeParsesToTheSameTree(t *testing.T) {
	tree := mustParse(t, sample)
	reparsed := mustParse(t, tree.Text(tree.BasedOn))
	assert.Equal(t, int(reparsed.BasedOn), 7)
	assert.Equal(t, len(Diff(tree, reparsed)), 0)
}

func TestFaultsNameLineAndPath(t *testing.T) {
	zone := "[service.a.place.p.zone.z]\n"
	for _, c := range []struct{ name, text, want string }{
		{"syntax", "[defaults]\nslots = \n", "line 2: defaults: TOML: "},
		{"unknown field", "[defaults]\nslot = 1\n", `line 2: defaults: unknown field "slot"; did you mean "slots"?`},
		{"unknown field, none near", "[defaults]\nxyzxyzxyzxyz = 1\n", `line 2: defaults: unknown field "xyzxyzxyzxyz"`},
		{"unknown table", "[servise.a]\n", `line 1: defaults: unknown table "servise"; did you mean "service"?`},
		{"unknown inner table", "[service.a.places.b]\n", `unknown table "places"; did you mean "place"?`},
		{"incomplete table", "[service.a.place]\n", "the table header lacks the name of the place"},
		{"deep table", "[service.a.place.b.zone.c.host.d]\n", "too deep"},
		{"bad name", "[service.\"A b\"]\n", `"A b" is not a valid name`},
		{"list of tables", "[[service.a]]\n", "a list of tables is not allowed"},
		{"table twice", "[service.a]\n[service.a]\n", "line 2: a: defined twice"},
		{"field twice", "[service.a]\nslots = 1\nslots = 2\n", "line 3: a.slots: set twice"},
		{"key above tables", "slots = 1\n", `line 1: defaults: unknown key "slots"; fields go into a table`},
		{"dotted key", "[service]\n[defaults]\na.b = 1\n", "line 3: defaults: a dotted key is not allowed"},
		{"wrong level", "[defaults]\nkeyed = true\n", "line 2: defaults.keyed: may be set at a service only, not at the root"},
		{"range", "[defaults]\nconnections = 0\n", "line 2: defaults.connections: 0 is outside of 1 to 100000"},
		{"duration range", "[defaults]\nlead_ttl = \"1h\"\n", "1h0m0s is outside of 20ms to 2s"},
		{"no duration", "[defaults]\nlead_ttl = \"soon\"\n", `"soon" is not a duration`},
		{"number as duration", "[defaults]\nlead_ttl = 5\n", "expected a duration such as \"150ms\", got an integer"},
		{"huge integer", "[defaults]\nslots = 99999999999999999999\n", "defaults.slots: integer"},
		{"float", "[defaults]\nslots = 1.5\n", "a value of type Float is not allowed"},
		{"list of integers", zone + "servers = [1]\n", "a list may hold strings only"},
		{"address", zone + "servers = [\"localhost:1\", \"127.0.0.1:0\"]\n", `line 2: a/p/z.servers: "localhost:1" is not an IP address and port such as "10.0.0.1:8080"; "127.0.0.1:0" is not an`},
		{"address form", zone + "servers = [\"[0:0::1]:80\"]\n", `must be written as "[::1]:80"`},
		{"server twice", zone + "servers = [\"127.0.0.1:1\"]\n[service.b.place.p.zone.z]\nservers = [\"127.0.0.1:1\"]\n", "line 4: b/p/z.servers: 127.0.0.1:1 is listed in a/p/z already"},
		{"zone in two places", zone + "[service.b.place.q.zone.z]\n", "line 2: b/q/z: the zone z lies in the place p elsewhere"},
		{"recovery", "[defaults]\nserver_silence = \"1s\"\nlease_ttl = \"590ms\"\n", "line 3: defaults.lease_ttl: server_silence, lead_ttl and lease_ttl with drift_permille add up to 2.0099s"},
		{"renewal of lead", "[defaults]\nrenew_every = \"140ms\"\n", "more than a third of lead_ttl 400ms"},
		{"renewal of lease", "[defaults]\nlease_ttl = \"300ms\"\n", "more than a third of lease_ttl 300ms"},
		{"silence", "[service.a]\nserver_silence = \"200ms\"\n", "line 2: a.server_silence: renew_every 120ms is more than half"},
		{"cold start", "[service.a]\ncold_start_slots = 5\n", "cold_start_slots 5 is more than slots 4"},
		{"connections", "[service.a]\nconnections = 3\n", "connections 3 is less than slots 4"},
		{"hedge of a keyed service", "[service.a]\nkeyed = true\nhedge_after = \"1s\"\n", "hedge_after is for services not divided by key"},
		{"base", "based_on = -1\n", "line 1: defaults.based_on: expected a version"},
	} {
		t.Run(c.name, func(t *testing.T) {
			tree, err := Parse([]byte(c.text))
			assert.ErrorContains(t, err, c.want)
			assert.Assert(t, tree == nil)
		})
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	_, err := Parse([]byte("[defaults]\nslot = 1\nconnections = 0\n[servise.a]\nslots = 0\n[service.b]\nkeyed = 1\n"))
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	lines := []int{}
	for _, fault := range faults {
		lines = append(lines, fault.Line)
	}
	assert.DeepEqual(t, lines, []int{2, 3, 4, 7})
}

// TestFieldsListsEveryFieldOfValues compares the number of entries in fields with the 20
// fields of Values, and checks that the defaults keep all rules.
func TestFieldsListsEveryFieldOfValues(t *testing.T) {
	text := EffectiveText(Defaults())
	assert.Equal(t, strings.Count(text, "\n"), len(fields))
	assert.Equal(t, len(fields), 20)
	assert.Equal(t, len(emptyTree().check()), 0)
}

// FuzzParse checks that Parse does not panic, and that the text of every tree that it
// accepts parses to an equal tree.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("[service.a.place.b.zone.c]\nservers = [[\"x\"]]\n")
	f.Add("a = {b = 1}\n[[x]]\n\"\" = 1e9\n")
	f.Fuzz(func(t *testing.T, text string) {
		tree, err := Parse([]byte(text))
		if err != nil {
			return
		}
		reparsed, err := Parse([]byte(tree.Text(tree.BasedOn)))
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(tree, reparsed)), 0)
	})
}
