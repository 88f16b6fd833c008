package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/reach"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

// TestEntriesOfUnnamedServicesAreNotTried guards against a host that takes itself for cut off since nobody listens at the addresses in another
// writer's entries.
func TestEntriesOfUnnamedServicesAreNotTried(t *testing.T) {
	f := fleet.New(fleet.Options{Target: func(string) *transport.Target { return nil }})
	f.Set([]fleet.Entry{
		{ID: "a", Service: "revize", Addr: "10.0.0.1:80", Zone: "zlin"}, {ID: "x", Service: "sonda", Addr: "10.0.0.9:80", Zone: "zlin"},
	}, 0)
	table := routetable.New(routetable.Config{Services: map[string]routetable.Service{"revize": {}}})
	assert.DeepEqual(t, reachableServers(f, table), []reach.Server{{Addr: "10.0.0.1:80", Zone: "zlin"}})
	assert.Equal(t, len(reachableServers(f, nil)), 0)
}

// TestServersThatMayBeGrantedKeys checks to which servers a host keeps connections for grants.
func TestServersThatMayBeGrantedKeys(t *testing.T) {
	f := fleet.New(fleet.Options{Target: func(string) *transport.Target { return nil }})
	f.Set([]fleet.Entry{
		{ID: "a", Service: "revize", Addr: "10.0.0.1:80", Zone: "zlin", Born: 1}, {ID: "b", Service: "revize", Addr: "10.0.0.2:80", Zone: "zlin", Draining: true},
		{ID: "c", Service: "archiv", Addr: "10.0.0.3:80", Zone: "zlin"}, {ID: "x", Service: "sonda", Addr: "10.0.0.9:80", Zone: "zlin"},
	}, 0)
	table := routetable.New(routetable.Config{Services: map[string]routetable.Service{"revize": {Keyed: true}, "archiv": {}}})
	assert.DeepEqual(t, grantableServers(f, table), []assign.Server{{ID: "a", Addr: "10.0.0.1:80", Zone: "zlin", Born: 1}})
	assert.Equal(t, len(grantableServers(f, nil)), 0)
}
