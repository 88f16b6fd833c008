package front

import (
	"strconv"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
)

const (
	// oneRequest is the share of one request a second, with a margin for rounding.
	oneRequest = 1 + 1e-6
	// primaryColdPart is the part of a cold server's allowance that its primary asks for. All requests for its keys go
	// through the primary; the rest is for requests without keys.
	primaryColdPart = 0.8
)

// allowance returns how many requests per second this host may send to a cold server of the request's service: an equal
// share of what all hosts may send or, where that is less than one request, a leased share.
func (in *Ingress) allowance(r *Request, server *fleet.Server, now time.Duration) fleet.Allowance {
	total := in.config.ColdRateLimit(r.Service)
	hosts := in.config.Current.Plan().HostCount()
	if !NeedsColdShares(total, hosts) || in.config.Shares == nil || !server.Cold(now) {
		return fleet.ShareOf(total, hosts)
	}
	useful := oneRequest / total
	wanted := useful
	if r.Service.Keyed && in.primaries.isPrimary(in.config.Current.Plan(), assign.ServerOf(server.Entry())) {
		wanted = max(useful, primaryColdPart)
	}
	fraction := in.config.Shares.Fraction(coldLimit(server.Entry()), useful, wanted, now)
	return fleet.Allowance{PerSecond: fraction * total, Spaced: true}
}

// coldLimit returns the name of the limit of a cold server. Another incarnation has a limit of its own.
func coldLimit(entry fleet.Entry) string {
	return "cold/" + string(entry.ID) + "/" + strconv.FormatInt(entry.Born, 10)
}

// preferLeasedCold returns a cold server of which this host holds a leased share if the server that was chosen for the
// request has no free slot, and otherwise the chosen one.
func (in *Ingress) preferLeasedCold(r *Request, chosen *fleet.Server, excluded []fleet.ID, now time.Duration) *fleet.Server {
	if chosen.Cold(now) || chosen.Occupancy(now) < 1 {
		return chosen
	}
	cold, ok := in.leasedCold(r, excluded, now)
	if !ok {
		return chosen
	}
	return cold
}

// leasedCold returns a cold server of which this host holds a leased share, and false if there is none.
func (in *Ingress) leasedCold(r *Request, excluded []fleet.ID, now time.Duration) (*fleet.Server, bool) {
	total := in.config.ColdRateLimit(r.Service)
	if !NeedsColdShares(total, in.config.Current.Plan().HostCount()) || in.config.Shares == nil {
		return nil, false
	}
	return in.fleet.ChooseCold(r.Service.Name, excluded, func(server *fleet.Server) bool {
		return server.ColdReady(in.allowance(r, server, now), now)
	}, now)
}

// NeedsColdShares reports whether a cold server's allowance, in requests per second, is less than one request for each
// of the hosts, so that it is leased.
func NeedsColdShares(total float64, hosts int) bool {
	return total >= oneRequest/sharedlimit.SettledTotal && fleet.ShareOf(total, hosts).PerSecond < 1
}
