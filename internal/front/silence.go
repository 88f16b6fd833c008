package front

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/transport"
)

const (
	// silenceFactor and minSilence say how long a connection may deliver nothing to a request: the route's usual time,
	// many times over, and at least minSilence. A server with several slots delivers on other connections while one request
	// takes long: with 4 times and 500 ms, 596 healthy requests were given up in 12 s of a calm day with 404 servers, whose
	// longest work is 7.5 times the mean.
	silenceFactor = 10
	minSilence    = 1500 * time.Millisecond
	// muteAvoidFor is how long a server is avoided that delivers nothing on any connection.
	muteAvoidFor = time.Second
)

// silenceOf returns how the silence of a server is judged that is sent the request. Without a usual time of the route it is
// not judged.
func (in *Ingress) silenceOf(r *Request, server *fleet.Server) transport.Silence {
	usual := in.baseline.get(r.Route.Name)
	if usual <= 0 {
		return transport.Silence{}
	}
	// Each further connection that is silent makes it likelier that the work takes long.
	after := max(silenceFactor*usual, minSilence) << r.silentAttempts
	suspended := func() bool { return in.mustOutwaitSilence(r) }
	return transport.Silence{After: after, Suspended: suspended, OnMute: func() {
		server.Avoid(in.clock() + muteAvoidFor)
		in.log.Event("silence", "id", r.ID, "route", r.Route.Name, "server", server.Entry().ID, "after_ms", after.Milliseconds(),
			"outcome", "no connection delivers: slow, dead or mute, avoided")
	}}
}

// mustOutwaitSilence reports whether the request may not be given up because its server is silent: the host that has taken it
// from its caller is or may be shutting down, and the server may be at work on it. After a shutdown the caller gets whatever answer
// the server makes.
func (in *Ingress) mustOutwaitSilence(r *Request) bool {
	return in.isLeaving() || in.forwarderMayLeave(r)
}
