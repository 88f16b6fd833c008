package edge

import (
	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// namedServers returns the servers of those services that the configuration names and that want accepts. Entries of other services may
// be another writer's, and nobody need listen at their addresses. Without a configuration there are none.
func namedServers(f *fleet.Fleet, table *routetable.Table, want func(routetable.Service) bool) []*fleet.Server {
	if table == nil {
		return nil
	}
	var servers []*fleet.Server
	for name, service := range table.Services {
		if want(service) {
			servers = append(servers, f.Servers(name)...)
		}
	}
	return servers
}

// grantableServers returns the servers that may be granted keys.
func grantableServers(f *fleet.Fleet, table *routetable.Table) []assign.Server {
	var servers []assign.Server
	for _, server := range namedServers(f, table, func(service routetable.Service) bool { return service.Keyed }) {
		if !server.Leaving() {
			servers = append(servers, assign.ServerOf(server.Entry()))
		}
	}
	return servers
}
