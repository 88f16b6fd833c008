package assign

import "github.com/poplarcroft/poplarcroft/internal/fleet"

// ServerOf converts an entry of the service discovery.
func ServerOf(entry fleet.Entry) Server {
	return Server{ID: string(entry.ID), Addr: entry.Addr, Zone: entry.Zone, Born: entry.Born}
}
