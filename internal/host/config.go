// Package host assembles and runs one host process of the router. The serve and
// dev commands of package hostcmd create a Host with New and call its Run.
//
// A host serves three listeners: callers (the data path of package route), other
// hosts (the protocol of package peer) and operators (package admin). Beside them
// it runs one background loop for each job: follow the platform's log, track the
// other hosts, run a keeper for every session that this host is a lessor of, append
// the plan records that the ownership table lacks, write checkpoints, share
// evidence against poison requests, and measure the load of slices.
//
// New fails if a listener cannot be opened. After that no fault ends the host, only
// the end of Run's context. While the log does not answer, ownership cannot change;
// the keepers still renew the leases of servers, so owned slices stay served, and a
// host that starts then takes its state from another host's snapshot.
package host

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/admin"
)

// Config is the configuration of a host at its start. Everything else comes from the log.
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
	// Peers are peer addresses of other hosts, which are queried for further hosts
	// while the platform's host list does not answer. They may be empty or out of date.
	Peers []string
	// EgressAddr is the address of an HTTP CONNECT proxy for all outgoing connections; empty for none.
	EgressAddr string
	// Events receives the host's events as JSON lines; nil for none.
	Events io.Writer
	// Operators authenticates users of the administration API; nil lets everybody read and nobody change anything.
	Operators admin.Authenticator
	// AdminTLS is the TLS configuration of the administration API; nil for plain HTTP.
	AdminTLS *tls.Config
	// LeaveTime is how long a stopping host still accepts requests, so that the load
	// balancer and the other hosts notice in the meantime that it leaves.
	LeaveTime time.Duration
	// DrainTime bounds the wait for requests in flight after LeaveTime.
	DrainTime time.Duration
}

// Default durations of a host's shutdown.
const (
	DefaultLeaveTime = 3 * time.Second
	DefaultDrainTime = 30 * time.Second
)
