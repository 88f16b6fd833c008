// Package routetable finds the route of a request by its host name and path.
//
// A table is built once from a configuration and never changes. A look-up costs
// one map access for each segment of the path, whatever the number of routes.
package routetable

import (
	"strings"
	"time"
)

// Version orders configurations.
type Version uint64

// Share is one part of the traffic of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route says how requests are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route. It begins and ends with a slash.
	Prefix string
	// Shares has one entry unless the route's traffic is split.
	Shares []Share
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request takes.
	Timeout time.Duration
	// Goal is the time in which an answer is worth most.
	Goal time.Duration
	// Attempts is the largest number of servers that one request is sent to.
	Attempts int
	// Priority is the rank of the route; zero is the most urgent.
	Priority int
}

// Pick returns the service of a request, in proportion to the weights. Point lies in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	left := point * total
	for _, share := range r.Shares {
		left -= share.Weight
		if left < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service says how a service's servers are treated.
type Service struct {
	Name string
	// Keyed services have servers that own keys.
	Keyed bool
	// Connections is the number of connections that a server takes from all hosts together.
	Connections int
	// ColdFor is how long a server is cold after its start, in which it takes ColdRate requests a second.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table is a configuration, ready for look-ups.
type Table struct {
	Config
	byHost map[string]map[string]*Route
}

// New returns the table of a configuration.
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

// Lookup returns the route of the host name with the longest prefix that begins the path.
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

// normalHost strips the port of a host name and ignores case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
