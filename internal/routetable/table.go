// Package routetable finds the route of a request by its host name and path, and holds the
// operators' configuration of routes and services.
//
// Package platform decodes a configuration, package edge builds a Table from each newer
// version, and package front looks up every request in the newest one. A table never changes, so
// it needs no locks. A lookup costs at most one map access for each slash in the path, whatever the
// number of routes. A wrong match would send a request to the wrong service.
package routetable

import (
	"strings"
	"time"
)

// Version numbers the configurations; a higher version replaces a lower one.
type Version uint64

// Share is the part of a route's traffic that goes to one service. Weights are relative to
// the sum of the route's weights.
type Share struct {
	Service string
	Weight  float64
}

// Route describes how requests with a given host name and path prefix are handled.
type Route struct {
	Name string
	// Host is the host name in requests, without a port; case is ignored.
	Host string
	// Prefix is the path prefix of the route. It begins and ends with a slash.
	Prefix string
	// Shares has one entry unless the route's traffic is split between services.
	Shares []Share
	// Idempotent says that executing a request more than once is harmless.
	Idempotent bool
	// Large says that answers are large, so that they are passed on while they arrive.
	Large bool
	// Timeout is the maximum time from a request's arrival to its answer.
	Timeout time.Duration
	// Goal is the latency goal (aim_s in the configuration): answers within it have their full value.
	Goal time.Duration
	// Attempts is the maximum number of attempts in which a request may be executed.
	Attempts int
	// Priority is the rank of the route in queues; zero is the most urgent.
	Priority int
	// Public routes need no key of a client account.
	Public bool
}

// Pick chooses the service of a request so that services get requests in proportion to
// their weights. Point is a random number in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := point * total
	for _, share := range r.Shares {
		remaining -= share.Weight
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service holds the settings of a service and the limits of each of its backend servers.
type Service struct {
	Name string
	// Keyed says that each key of the service is owned by one server, which gets all requests for it.
	Keyed bool
	// Connections is the maximum number of connections to one server from all hosts together.
	Connections int
	// ColdFor is how long a server is cold (warming up) after its start. Meanwhile it may get
	// ColdRate requests per second from all hosts together.
	ColdFor  time.Duration
	ColdRate float64
}

// Account is a client account. Its requests carry one of its keys.
type Account struct {
	Name string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the quota over all hosts together; a rate of zero sets no limit.
	RatePerSecond, Burst float64
}

// Limits bounds callers' requests, and the time that callers may take. Zero sets no limit.
type Limits struct {
	// HeadBytes is the maximum size of the head of a request, and HeadTimeout the time within which it must arrive.
	HeadBytes   int
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may be without a request.
	IdleTimeout time.Duration
	// BodyBytes is the maximum size of a request body; zero sets no limit.
	BodyBytes int64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts holds the client accounts by name, and AccountOfKey the name of the account that holds each
	// key. Without accounts, requests need no key.
	Accounts     map[string]Account
	AccountOfKey map[string]string
}

// Table indexes a configuration for lookups. It is immutable and safe for concurrent use.
type Table struct {
	Config
	// byHost holds the routes by normalized host name and path prefix.
	byHost map[string]map[string]*Route
}

// New returns the table of a configuration, which must not be changed afterwards.
func New(config Config) *Table {
	t := &Table{Config: config, byHost: make(map[string]map[string]*Route)}
	for i := range t.Routes {
		route := &t.Routes[i]
		host := normalHost(route.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = make(map[string]*Route)
		}
		t.byHost[host][route.Prefix] = route
	}
	return t
}

// Lookup returns the route of the host name with the longest prefix of the path. It returns false
// if no route matches.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	routes := t.byHost[normalHost(host)]
	if routes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := routes[path[:end+1]]; ok {
			return route, true
		}
	}
	return nil, false
}

// normalHost returns the host name in lower case and without its port. The brackets of an
// IPv6 address stay.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
