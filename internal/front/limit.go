package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/fleet"
)

// errBadLimit reports a limit that is no finite number of zero or more.
var errBadLimit = errors.New("the limit is no finite number of zero or more")

// parseLimit parses the values of the limit header, in requests per second. Of several limits the lowest
// counts. named is false if there is none. The error reports a malformed limit, which is ignored.
func parseLimit(values []string) (perSecond float64, named bool, err error) {
	perSecond = math.Inf(1)
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			limit, parseErr := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if parseErr != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
				err = errors.Wrapf(errBadLimit, "%q", text)
				continue
			}
			perSecond = min(perSecond, limit)
			named = true
		}
	}
	return perSecond, named, err
}

// readLimit updates the server's limit from an answer to a request that was sent at sentAt. An answer
// whose only limit is malformed changes nothing.
func (in *Ingress) readLimit(r *Request, server *fleet.Server, header http.Header, sentAt time.Duration) {
	perSecond, named, err := parseLimit(header.Values(in.headers.Limit))
	entry := server.Entry()
	before := server.Limit()
	if err != nil {
		in.log.Routine("limit", "server", entry.ID, "born", entry.Born, "id", r.ID, "outcome", "rejected", "err", err.Error())
	}
	switch {
	case named && server.NameLimit(perSecond, in.shareInLimit(r, server), in.clock()):
		in.log.Event("limit", "server", entry.ID, "born", entry.Born, "id", r.ID, "outcome", "named",
			"per_second", perSecond, "before", before, "alone", in.shareInLimit(r, server).Alone)
	case !named && err == nil && server.EndLimit(sentAt):
		in.log.Event("limit", "server", entry.ID, "born", entry.Born, "id", r.ID, "outcome", "ended", "before", before)
		in.config.OnFact(entry, LimitEnded)
	}
}

// sharedWithHosts returns the share of this host in the limit of a server to which each host sends by itself.
func (in *Ingress) sharedWithHosts(server *fleet.Server) fleet.Share {
	zone := server.Entry().Zone
	zoneHosts, otherHosts, inZone := 0, 0, false
	for _, host := range in.config.Current.Plan().Hosts {
		switch {
		case host.Retired:
		case host.Zone == zone:
			zoneHosts++
			inZone = inZone || host.Name == in.config.Self
		default:
			otherHosts++
		}
	}
	return fleet.SharedBy(zoneHosts, otherHosts, inZone)
}

// shareOf returns the share of this host in the limit of the request's server. Without a limit the share
// has no effect and is not computed.
func (in *Ingress) shareOf(r *Request, server *fleet.Server) fleet.Share {
	if server.Limit() == 0 {
		return fleet.SoleShare
	}
	return in.shareInLimit(r, server)
}

// shareInLimit returns the share of this host in a limit that the request's server names. The primary of
// a server that owns keys sends alone.
func (in *Ingress) shareInLimit(r *Request, server *fleet.Server) fleet.Share {
	if !r.Service.Keyed {
		return in.sharedWithHosts(server)
	}
	primary, ok := in.primaries.get(in.config.Current.Plan(), assign.ServerOf(server.Entry()))
	if ok && primary.Name == in.config.Self {
		return fleet.SoleShare
	}
	return in.sharedWithHosts(server)
}

// refusedBy returns the result of a request that was not sent to a server because of a refusal.
func (in *Ingress) refusedBy(refusal fleet.Refusal, server *fleet.Server, share fleet.Share) Result {
	if refusal != fleet.RefusedLimit {
		return notRun(reasonCold, defaultRetryAfter)
	}
	return notRun(reasonLimited, server.ReturnAfter(share, in.clock()))
}
