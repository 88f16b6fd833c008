// Package admission lets one host of a zone, the dispatcher, admit the requests of all hosts for a pool of servers. A
// pool is up to poolSize servers of one service in one zone that any request may use.
//
// Package front asks a Client before it sends a request without a key. The Client asks the dispatcher of the pool, over
// messages that package edge carries, and the dispatcher's Pools decide by means of package dispatch. Requests and
// answers go between the asking host and the server. If no dispatcher can be asked, the host chooses a server by itself.
// If the dispatcher is wrong about the load, servers get more requests than they can queue, or fewer than they could run.
package admission

import (
	"time"

	"github.com/poplarcroft/poplarcroft/internal/dispatch"
)

// Pool names a pool of servers.
type Pool struct {
	Service, Zone string
	// Part numbers the pools of a service that has more than poolSize servers in the zone.
	Part int
}

// AdmitArgs asks a dispatcher for a slot at a server of a pool.
type AdmitArgs struct {
	// From and Incarnation identify the asking host, and Number the request among those that it has asked for.
	From, Incarnation string
	Number            uint64
	Pool              Pool
	Account           string
	Priority          int
	// Caller is the same whenever a caller repeats the request.
	Caller uint64
	// GoalIn and DeadlineIn are the times left. The clocks of two hosts can't be compared.
	GoalIn, DeadlineIn time.Duration
	// Work is how long a server is expected to work on the request.
	Work time.Duration
	// Excluded are the IDs of the servers that must not get the request.
	Excluded []string
	// Others holds, by ID, the host's requests at servers without a ticket of the asked dispatcher.
	Others map[string]int
}

// Verdict is a dispatcher's decision.
type Verdict int

const (
	// NotHere means that the host does not act as a dispatcher now.
	NotHere Verdict = iota
	// Admitted means that the request may be sent to the named server.
	Admitted
	// Refused means that there is no room for the request.
	Refused
	// NoServer means that no server of the pool may get the request.
	NoServer
)

// AdmitReply is the decision on a request.
type AdmitReply struct {
	Verdict Verdict
	// Server and Born identify the incarnation of the server, and Ticket the place that the request has there.
	Server string
	Born   int64
	Ticket dispatch.Ticket
	// RetryAfter is the time after which a refused caller may come back.
	RetryAfter time.Duration
	// Incarnation is that of the dispatcher.
	Incarnation string
}

// Finished is a ticket that is no longer needed.
type Finished struct {
	Pool   Pool
	Ticket dispatch.Ticket
	End    dispatch.PoolEnd
	// Took is how long the server worked, or zero if that is unknown.
	Took time.Duration
}

// FinishArgs frees tickets and withdraws requests that still wait. Without either it asks whether the dispatcher answers.
type FinishArgs struct {
	From, Incarnation string
	// To is the incarnation of the dispatcher that has given the tickets.
	To       string
	Finished []Finished
	// Withdrawn are the numbers of waiting requests whose callers have left.
	Withdrawn []uint64
}

// FinishReply is the answer to FinishArgs.
type FinishReply struct {
	// Incarnation is that of the dispatcher.
	Incarnation string
}
