package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// lessorState holds the session's lessors according to the log.
type lessorState struct {
	lessors []record.Lessor
	// former are the lessors before the last replacement. sealing reports that the
	// replacement is not sealed yet.
	former  []record.Lessor
	sealing bool
	// lessorsSince is the offset of the record that named lessors.
	lessorsSince logservice.Offset
	// closeReason is set once this lessor has proposed to close.
	closeReason string
}

// primaryState holds when this lessor became primary, and its reasons to step down.
type primaryState struct {
	wasPrimary bool
	// primarySince is when this lessor last became primary; term counts how often it has.
	primarySince time.Duration
	term         atomic.Uint64
	// marked reports that an operator has marked this host as leaving or lost: it becomes
	// primary only if no other lessor does.
	marked bool
	// mustStepDown reports that this host must step down because of a new mark.
	mustStepDown bool
	// steppingDown reports that no new request is accepted because this host is about to step down.
	steppingDown bool
	// resigned reports that this lessor does not become primary again.
	resigned bool
	// backoffUntil is until when this lessor lets others that reach the server become primary first.
	backoffUntil time.Duration
	// serving is the number of requests that this host is serving for the session.
	serving int
}

// serverState holds what this lessor knows about the backend server.
type serverState struct {
	detector detector
	// serverSilentRecorded reports that the event server-silent has been recorded
	// since the server's last answer.
	serverSilentRecorded bool
	// unresponsive reports that the server has left a grant or a request unanswered
	// since its last answer to a grant: it may have restarted.
	unresponsive bool
	// clockKnown reports that this lessor has read the server's clock in its present term as primary.
	clockKnown bool
}

// activation is the end of a slice's ownership by the session: the epoch under
// which the session owned it, and the session that took it over.
type activation struct {
	epoch     record.Epoch
	successor record.SessionID
}

// sliceState holds what this lessor knows about the session's slices.
type sliceState struct {
	// handovers are the session's slices according to the log at handoversVersion.
	handovers        map[ownership.SliceKey]Handover
	handoversVersion logservice.Offset
	// holds are the slices that the server has confirmed to hold, with their epochs.
	holds map[int]record.Epoch
	// adopted are slices that another session has handed over and that the log does
	// not yet assign to this one, with their epochs.
	adopted map[int]record.Epoch
	// dropped holds the highest epoch under which the server has dropped each slice.
	dropped map[int]record.Epoch
	// activated holds the last handover of each slice that was activated at a successor.
	activated map[ownership.SliceKey]activation
	// reachable holds when each successor of a moving slice was last known to have a primary.
	reachable map[record.SessionID]time.Duration
	// inFlight is the number of requests, by slice, that this host has sent and that have not ended.
	inFlight map[int]int
}

func newSliceState() sliceState {
	return sliceState{
		holds:     make(map[int]record.Epoch),
		adopted:   make(map[int]record.Epoch),
		dropped:   make(map[int]record.Epoch),
		activated: make(map[ownership.SliceKey]activation),
		reachable: make(map[record.SessionID]time.Duration),
		inFlight:  make(map[int]int),
	}
}

// idState holds the request IDs and the queues from which they are copied to other
// hosts. requestIDs and the queues need no lock.
type idState struct {
	requestIDs *idempotency.Table
	quorumRead quorumRead
	// recovered holds, by slice, the newest epoch for which the request IDs are
	// complete. recoverMu lets one goroutine at a time recover them.
	recovered map[int]uint64
	recoverMu *sync.Mutex
	// finishedClaims queues ended claims to be copied to the other lessors.
	finishedClaims chan idempotency.Entry
	// witnessQueue queues entries to be copied to the witness.
	witnessQueue chan witnessEntry
	// skipWitnessUntil is the time, in nanoseconds of the host's clock, until which no
	// claim waits for the witness.
	skipWitnessUntil *atomic.Int64
}

func newIDState(self string, retention time.Duration) idState {
	return idState{
		requestIDs:       idempotency.NewTable(self, idempotency.Bounds{Retention: retention}),
		quorumRead:       newQuorumRead(),
		recovered:        make(map[int]uint64),
		recoverMu:        new(sync.Mutex),
		finishedClaims:   make(chan idempotency.Entry, claimQueueLength),
		witnessQueue:     make(chan witnessEntry, claimQueueLength),
		skipWitnessUntil: new(atomic.Int64),
	}
}
