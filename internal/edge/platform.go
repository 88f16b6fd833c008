// Package edge assembles and runs one host on the users' platform.
//
// Package platform creates a Host with an adapter to the platform's services and runs it until
// the process is stopped. A Host listens for callers, for the load balancer's readiness checks
// and for other hosts. It runs loops that follow three topics: the hosts' shared state (the plan
// and the registered hosts), the operators' records (configuration and evacuated zones), and the
// service discovery (backend servers). Other loops renew grants, elect and run the leader, and
// report load and suspect requests to other hosts.
//
// Faults that show here are outages of a topic, reads that hang, and stale state: a host that
// follows an old configuration, an old plan or servers that are gone. The log event "dependency"
// says which topic is affected. Meanwhile a host keeps routing requests by what it read last.
package edge

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/fleet"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/grants"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/routetable"
)

// ErrConflict reports that a topic did not end at the offset that a conditional append expected.
var ErrConflict = errors.New("edge: conditional append failed because the topic has grown")

// OperatorRecord is a decoded record of the operators. Exactly one of its fields is set.
type OperatorRecord struct {
	// Config is a version of the configuration.
	Config *routetable.Config
	// EvacuatedZone is a zone whose servers get no requests as long as the record exists.
	EvacuatedZone string
}

// Platform is the interface to the services of the platform that a host runs on.
type Platform interface {
	// Servers returns the topic of the service discovery, with an entry for each backend server.
	Servers() follow.Source
	// DecodeServer decodes a record of that topic.
	DecodeServer(record follow.Record) (fleet.Entry, error)
	// OperatorRecords returns the topic of the operators' records.
	OperatorRecords() follow.Source
	// DecodeOperatorRecord decodes a record of that topic.
	DecodeOperatorRecord(record follow.Record) (OperatorRecord, error)
	// State returns the topic of the hosts' shared state.
	State() follow.Source
	// AppendState appends a record to the shared state and returns its position. If at is not nil,
	// it appends only if the topic ends at that offset, and otherwise returns ErrConflict. The
	// condition holds for the offset in any era, so the caller checks the era of the position.
	AppendState(ctx context.Context, key string, value []byte, at *uint64) (follow.Position, error)
	// Elector returns the election of the leader.
	Elector() leader.Elector
	// Granter returns the client for granting key ranges to backend servers.
	Granter() grants.Granter
}
