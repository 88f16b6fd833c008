package edge

import (
	"github.com/poplarcroft/poplarcroft/internal/bounded"
	"github.com/poplarcroft/poplarcroft/internal/inbound"
)

const (
	// fileDescriptors is the number of descriptors that are not available for connections.
	fileDescriptors = 200
	// callerSocketShare, hostSocketShare and sideSocketShare are the divisors for the parts of the other descriptors that the
	// listeners for callers, for other hosts, and for readiness and metrics may take. The rest is left for connections to
	// servers, other hosts and the platform's log.
	callerSocketShare = 2
	hostSocketShare   = 4
	sideSocketShare   = 32
	// connectionMemoryShare is the divisor for the part of the memory that the connections of a listener may take, and
	// connectionMemory about what one without a request takes, in bytes.
	connectionMemoryShare = 4
	connectionMemory      = 24 << 10
	// headMemoryShare is the divisor for the part of the memory that the large heads of requests may take at one listener.
	headMemoryShare = 16
)

// guards hold the limits for the connections of each listener.
type guards struct {
	callers, hosts, ready, metrics *inbound.Guard
}

// newGuards returns the guards of a host's listeners.
func (h *Host) newGuards() guards {
	guard := func(name string, socketShare int, limits func() inbound.Limits) *inbound.Guard {
		return inbound.New(inbound.Config{
			Name: name, Limits: limits, Connections: h.maxInboundConnections(socketShare),
			HeadMemory: h.config.MemoryBytes / headMemoryShare, Log: h.log.Event,
		})
	}
	return guards{
		callers: guard("callers", callerSocketShare, h.callerLimits),
		hosts:   guard("hosts", hostSocketShare, h.hostLimits),
		ready:   guard("readiness", sideSocketShare, h.callerLimits),
		metrics: guard("metrics", sideSocketShare, h.callerLimits),
	}
}

// maxInboundConnections returns the maximum number of connections of a listener that gets a share of the descriptors. It is zero, which
// sets no limit, if neither the descriptors nor the memory are known.
func (h *Host) maxInboundConnections(socketShare int) int {
	limit := int(h.config.MemoryBytes / connectionMemoryShare / connectionMemory)
	if sockets := h.config.Descriptors - fileDescriptors; sockets > 0 && (limit == 0 || sockets/socketShare < limit) {
		limit = max(sockets/socketShare, 1)
	}
	return limit
}

// callerLimits returns the limits of the configuration for callers.
func (h *Host) callerLimits() inbound.Limits {
	limits := inbound.Limits{HeadBytes: bounded.MaxHeaderBytes, HeadTimeout: headerTimeout}
	table := h.operatorRecords.Table()
	if table == nil {
		return limits
	}
	if table.Limits.HeadBytes > 0 {
		limits.HeadBytes = table.Limits.HeadBytes
	}
	if table.Limits.HeadTimeout > 0 {
		limits.HeadTimeout = table.Limits.HeadTimeout
	}
	limits.IdleTimeout = table.Limits.IdleTimeout
	return limits
}

// hostLimits returns the limits for other hosts. A forwarded request has the caller's head and what hosts add, and hosts keep idle
// connections for as long as they need them.
func (h *Host) hostLimits() inbound.Limits {
	limits := h.callerLimits()
	limits.HeadBytes *= 2
	limits.IdleTimeout = 0
	return limits
}
