package scenarios

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// everything stands for all that a cut names no other side of.
const everything = "*"

// cut is a cut between two sides, each a zone, host, server or part of the platform.
type cut struct {
	a, b string
	// refuse says that connections are refused and closed; otherwise they stall.
	refuse bool
}

// network holds the cuts in force.
type network struct {
	cuts []cut
}

// add puts a cut in force.
func (n *network) add(c cut) {
	n.remove(c.a, c.b)
	n.cuts = append(n.cuts, c)
}

// remove heals the cuts between a and b, or all cuts of a where b is everything.
func (n *network) remove(a, b string) {
	n.cuts = slices.DeleteFunc(n.cuts, func(c cut) bool {
		if b == everything {
			return c.a == a || c.b == a
		}
		return c.a == a && c.b == b || c.a == b && c.b == a
	})
}

// node is one end of connections: a process and its addresses.
type node struct {
	name  string
	zone  string
	addrs []string
	// host is nil for a process that opens no connections.
	host *host
}

// nodes returns all ends of connections.
func (r *run) nodes() []node {
	var nodes []node
	if r.log != nil {
		nodes = append(nodes, node{name: logName, zone: platformName, addrs: []string{r.log.ready}})
	}
	if r.hostList != nil {
		nodes = append(nodes, node{name: hostListName, zone: platformName, addrs: []string{r.hostList.ready}})
	}
	for _, h := range r.hosts() {
		addrs := []string{h.addrs.caller, h.addrs.peer, h.addrs.admin}
		nodes = append(nodes, node{name: h.name, zone: h.zone, addrs: addrs, host: h})
	}
	for _, s := range r.servers {
		nodes = append(nodes, node{name: s.name, zone: s.zone, addrs: []string{s.addr}})
	}
	return nodes
}

// matches reports whether the node belongs to what a name stands for.
func (n node) matches(name string) bool {
	return name == n.name || name == n.zone
}

// separates reports whether the cut lies between two nodes.
func (c cut) separates(x, y node) bool {
	if c.b == everything {
		return x.matches(c.a) != y.matches(c.a)
	}
	return x.matches(c.a) && y.matches(c.b) || x.matches(c.b) && y.matches(c.a)
}

// checkNodeName returns an error where nothing has the name.
func (r *run) checkNodeName(name string) error {
	for _, n := range r.nodes() {
		if n.matches(name) {
			return nil
		}
	}
	return errors.Newf("no zone, host, server or part of the platform is called %q", name)
}

// applyNetwork brings all egress proxies in line with the cuts in force.
func (r *run) applyNetwork() {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := r.nodes()
	for _, from := range nodes {
		if from.host == nil || from.host.egress == nil {
			continue
		}
		from.host.egress.SetRules(r.network.rules(from, nodes))
	}
}

// rules returns the rules of one host's egress proxy.
func (n *network) rules(from node, nodes []node) standin.EgressRules {
	var rules standin.EgressRules
	for _, to := range nodes {
		for _, c := range n.cuts {
			if !c.separates(from, to) {
				continue
			}
			if c.refuse {
				rules.Cut = append(rules.Cut, to.addrs...)
			} else {
				rules.Stall = append(rules.Stall, to.addrs...)
			}
		}
	}
	return rules
}

// silence keeps the open connections between two sides from passing any byte.
func (r *run) silence(a, b string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := r.nodes()
	c := cut{a: a, b: b}
	for _, from := range nodes {
		if from.host == nil {
			continue
		}
		var addrs []string
		for _, to := range nodes {
			if c.separates(from, to) {
				addrs = append(addrs, to.addrs...)
			}
		}
		from.host.egress.Silence(addrs)
	}
}
