package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDeploymentsHaveTheirSizes checks that the settings files in deploy parse and
// describe the numbers of zones, servers, slots and connections of each deployment.
func TestDeploymentsHaveTheirSizes(t *testing.T) {
	type size struct {
		keyed                              bool
		zones, servers, slots, connections int
	}
	for file, want := range map[string]map[string]size{
		"moravia.toml": {"revize": {true, 4, 20, 4, 130}, "archiv": {false, 4, 15, 4, 130}},
		"riga.toml":    {"meetdesk": {true, 3, 15, 2, 40}, "fairguide": {false, 3, 10, 2, 40}},
	} {
		t.Run(file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "deploy", file))
			assert.NilError(t, err)
			services := mustParse(t, string(text)).Services()
			assert.Equal(t, len(services), len(want))
			for _, service := range services {
				got := size{service.Values.Keyed, len(service.Zones), 0, service.Values.Slots, service.Values.Connections}
				for _, zone := range service.Zones {
					got.servers += len(zone.Servers)
				}
				assert.Equal(t, got, want[service.Name], service.Name)
			}
		})
	}
}

func TestEveryFieldIsInTheOperatorsManual(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	for _, f := range fields {
		assert.Assert(t, strings.Contains(string(text), "| `"+f.name+"` |"), f.name)
	}
}
