package scenarios

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// everythingElse is the second side of a cut that names only one: all nodes outside
// the first side.
const everythingElse = "*"

// cut is a network partition between two sides, each the name of a zone, a host, a
// server, a process of the platform or the platform.
type cut struct {
	a, b string
	// refuse says that open connections are closed and new ones refused; otherwise
	// connections stall.
	refuse bool
}

// network holds the current cuts.
type network struct {
	cuts []cut
}

// add adds a cut. It replaces the cuts that remove would remove.
func (n *network) add(c cut) {
	n.remove(c.a, c.b)
	n.cuts = append(n.cuts, c)
}

// remove removes the cuts between a and b. If b is everythingElse, it removes all
// cuts of a.
func (n *network) remove(a, b string) {
	n.cuts = slices.DeleteFunc(n.cuts, func(c cut) bool {
		if b == everythingElse {
			return c.a == a || c.b == a
		}
		return c.a == a && c.b == b || c.a == b && c.b == a
	})
}

// node is a process that connections lead to or from, with its addresses.
type node struct {
	name  string
	zone  string
	addrs []string
	// host is nil for a process that opens no connections (all but hosts).
	host *host
}

// nodes returns all processes of the deployment.
func (r *run) nodes() []node {
	var nodes []node
	if r.log != nil {
		nodes = append(nodes, node{name: logName, zone: platformName, addrs: []string{r.log.readyText}})
	}
	if r.hostList != nil {
		nodes = append(nodes, node{name: hostListName, zone: platformName, addrs: []string{r.hostList.readyText}})
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

// matches reports whether name is the node's name or zone.
func (n node) matches(name string) bool {
	return name == n.name || name == n.zone
}

// separates reports whether the two nodes are on different sides of the cut.
func (c cut) separates(x, y node) bool {
	if c.b == everythingElse {
		return x.matches(c.a) != y.matches(c.a)
	}
	return x.matches(c.a) && y.matches(c.b) || x.matches(c.b) && y.matches(c.a)
}

// checkNodeName returns an error if no node or zone has the name.
func (r *run) checkNodeName(name string) error {
	for _, n := range r.nodes() {
		if n.matches(name) {
			return nil
		}
	}
	return errors.Newf("no zone, host, server or part of the platform is called %q", name)
}

// applyNetwork updates the rules of all egress proxies to the current cuts. It is
// called after each change of the cuts and after a host's start, which changes the
// host's addresses.
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

// rules returns the rules for the egress proxy of the host from.
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

// silence makes the open connections between two sides pass no more data, for good.
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
