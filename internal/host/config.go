// Package host runs one host of the router: it wires the follower of the log,
// the keepers of sessions, the planner and the data path together and serves
// callers, other hosts and operators.
package host

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/admin"
)

// Config is what a host is told at its start. Everything else comes from the log.
type Config struct {
	// Name is the host's name, unique in the system.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// CallerAddr, PeerAddr and AdminAddr are the IP addresses and ports to listen on.
	CallerAddr string
	PeerAddr   string
	AdminAddr  string
	// LogURL and HostsURL are the base URLs of the platform's services.
	LogURL   string
	HostsURL string
	// Peers are peer addresses of other hosts, asked for the hosts that they know
	// while the platform's list does not answer. They may be empty or out of date.
	Peers []string
	// EgressAddr is the address of an HTTP CONNECT proxy for all outgoing connections; empty for none.
	EgressAddr string
	// Events takes the host's events as JSON lines; nil for none.
	Events io.Writer
	// Operators tells who may use the administration; nil lets everybody read and nobody change anything.
	Operators admin.Authenticator
	// AdminTLS is the administration's TLS configuration; nil for plain HTTP.
	AdminTLS *tls.Config
	// LeaveTime is how long a stopping host goes on accepting requests while the
	// balancer and the host list learn that it leaves.
	LeaveTime time.Duration
	// DrainTime bounds the wait for requests in flight after that.
	DrainTime time.Duration
}

// Default durations of a host's stop.
const (
	DefaultLeaveTime = 3 * time.Second
	DefaultDrainTime = 30 * time.Second
)
