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

// lessorState is what the log says of the session's lessors.
type lessorState struct {
	lessors []record.Lessor
	// former are the lessors before the last replacement. sealing says that it is not sealed yet.
	former       []record.Lessor
	sealing      bool
	lessorsSince logservice.Offset
	closeReason  string
}

// leadState is this lessor's lead, and its reasons to give it to others.
type leadState struct {
	wasLead bool
	// leadSince is when this lessor gained the lead last; term counts the times.
	leadSince time.Duration
	term      atomic.Uint64
	// marked says that an operator marked this host: it leads only where nobody else does.
	marked bool
	// mustYield says that the lead is to be given back because of a new mark.
	mustYield bool
	// yielding says that no new request is taken, since the lead is about to be given back.
	yielding bool
	// resigned says that this lessor asks for the lead no more.
	resigned bool
	// asideUntil is until when this lessor leaves the lead to others that reach the server.
	asideUntil time.Duration
	// serving counts the requests that this host is serving for the session.
	serving int
}

// serverState is what is known of the backend server's life.
type serverState struct {
	silence silence
	// silenceNoted says that the present silence of the server has been recorded.
	silenceNoted bool
	// inDoubt says that the server has failed to answer since its last grant: it may have restarted.
	inDoubt bool
	// clockKnown says that this lessor has read the server's clock in its present term of the lead.
	clockKnown bool
}

// activation is the end of a slice's ownership by the session: the epoch under
// which the session owned it, and the session that took it over.
type activation struct {
	epoch     record.Epoch
	successor record.SessionID
}

// sliceState is what is known of the session's slices.
type sliceState struct {
	// handovers are the session's slices as the log has them at the version handoversAt.
	handovers   map[ownership.SliceKey]Handover
	handoversAt logservice.Offset
	// holds are the slices that the server has confirmed, with their epochs.
	holds map[int]record.Epoch
	// adopted are slices that came from a closed session and are not in the log yet.
	adopted map[int]record.Epoch
	// gaveUp are the highest epochs under which the server dropped slices.
	gaveUp map[int]record.Epoch
	// activated are the slices that were handed over, the last time of each.
	activated map[ownership.SliceKey]activation
	// reachable holds when each successor of a moving slice was last known to have a lead.
	reachable map[record.SessionID]time.Duration
	// inFlight counts the requests that this host has sent, by slice.
	inFlight map[int]int
}

func newSliceState() sliceState {
	return sliceState{
		holds:     make(map[int]record.Epoch),
		adopted:   make(map[int]record.Epoch),
		gaveUp:    make(map[int]record.Epoch),
		activated: make(map[ownership.SliceKey]activation),
		reachable: make(map[record.SessionID]time.Duration),
		inFlight:  make(map[int]int),
	}
}

// idState is the memory of request IDs and the rings by which it is copied. The
// memory and the rings need no lock.
type idState struct {
	memory      *idempotency.Table
	memoryState memoryState
	// recalled holds the epoch for which the request IDs of each slice are
	// complete. recalling lets one goroutine at a time complete them.
	recalled  map[int]uint64
	recalling *sync.Mutex
	finished  chan idempotency.Entry
	witnessed chan witnessEntry
	// silentUntil is the host's clock until which no claim waits for the witness.
	silentUntil *atomic.Int64
}

func newIDState(self string, retention time.Duration) idState {
	return idState{
		memory:      idempotency.NewTable(self, idempotency.Bounds{Retention: retention}),
		memoryState: newMemoryState(),
		recalled:    make(map[int]uint64),
		recalling:   new(sync.Mutex),
		finished:    make(chan idempotency.Entry, finishedRing),
		witnessed:   make(chan witnessEntry, finishedRing),
		silentUntil: new(atomic.Int64),
	}
}
