// Package edge runs one host whose callers are routed by host name and path, and
// whose state lies in the platform's log.
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

// ErrConflict reports that a topic did not end where a conditional append expected.
var ErrConflict = errors.New("edge: the topic has grown")

// Order is one record of the operators. One of its fields is set.
type Order struct {
	// Config is the newest configuration.
	Config *routetable.Config
	// ClosedZone is a zone whose servers get nothing.
	ClosedZone string
}

// Platform is what a host needs of the platform that it runs on.
type Platform interface {
	// Servers is the topic of the backend servers' entries.
	Servers() follow.Source
	// Server decodes an entry.
	Server(record follow.Record) (fleet.Entry, error)
	// Orders is the topic of the operators' records.
	Orders() follow.Source
	// Order decodes a record of the operators.
	Order(record follow.Record) (Order, error)
	// State is the topic of the hosts' own state.
	State() follow.Source
	// AppendState adds a record to the state. With a place it does so only where the topic
	// ends there; the error is ErrConflict where it does not.
	AppendState(ctx context.Context, key string, value []byte, at *uint64) (offset uint64, err error)
	// Elector says which host leads.
	Elector() leader.Elector
	// Granter calls backend servers.
	Granter() grants.Granter
}
