package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/balance"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/route"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// serverLoads returns the load of backend servers as this host sees it, ordered by
// service, zone and address: of the sessions whose primary it is, and of the servers
// of services that are not divided by key.
func (h *Host) serverLoads() []admin.ServerLoad {
	loads := []admin.ServerLoad{}
	for _, load := range h.gateway.Load() {
		loads = append(loads, h.sessionLoad(load))
	}
	for service, observations := range h.ingress.KeylessLoad() {
		for _, observation := range observations {
			loads = append(loads, keylessLoad(service, observation))
		}
	}
	slices.SortFunc(loads, func(a, b admin.ServerLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Server, b.Server))
	})
	return loads
}

// sessionLoad returns the load of a session's server as the operators' API shows it.
func (h *Host) sessionLoad(load route.SessionLoad) admin.ServerLoad {
	result := admin.ServerLoad{
		InFlight:  load.Stats.Running + load.Stats.Inherited,
		Queued:    load.Stats.Queued,
		Slots:     load.Stats.Slots,
		LatencyMS: milliseconds(load.Stats.Service),
	}
	h.view.Read(func(_ *settings.State, table *ownership.Table) {
		if session := table.Session(load.Session); session != nil {
			result.Service = session.Service
			result.Zone = session.Zone
			result.Server = session.Addr
		}
	})
	return result
}

// keylessLoad returns the load of a server of a service that is not divided by key.
func keylessLoad(service string, observation balance.Observation) admin.ServerLoad {
	return admin.ServerLoad{
		Service:     service,
		Zone:        observation.Zone,
		Server:      observation.Addr,
		InFlight:    observation.InFlight,
		Queued:      observation.Report.Queued,
		Slots:       observation.Slots,
		LatencyMS:   milliseconds(observation.Latency),
		Reported:    observation.Report.Load,
		ReportAgeMS: observation.Report.AgeMS,
		Draining:    observation.Report.Draining,
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
