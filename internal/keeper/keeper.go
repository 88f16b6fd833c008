// Package keeper runs one host's part in a session that it is a lessor of. A
// session is one incarnation of a backend server; its lessors are the hosts that
// may renew the server's lease. One of them at a time is the primary (the wire
// calls it lead), through which all requests for the server's slices go.
//
// A Keeper requests consent as primary, renews the server's lease, closes the
// session when the server has failed, and activates the session's slices at
// their successors. It also stores the request IDs of the session, which keep a
// retried request from running twice, at a quorum of the lessors and at a
// witness: a host that is not a lessor and stores them in case all lessors are
// lost.
//
// Package host starts a Keeper for each session and passes calls of other hosts
// to it; package route asks it whether a request may be sent. The protocol's
// rules are in package lease, which has neither clock nor messages; this package
// provides both. Two primaries at once, or a session closed too early, are
// faults of package lease. A session that is not renewed, not closed or whose
// slices are not activated in time is a fault of one of the loops here.
//
// A Keeper is safe for concurrent use: one lock guards its state and is never
// held during I/O.
package keeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/backend"
	"github.com/poplarcroft/poplarcroft/internal/idempotency"
	"github.com/poplarcroft/poplarcroft/internal/lease"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/peer"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

// Deps holds what a Keeper uses of its host.
type Deps struct {
	Host        string
	Incarnation string
	View        *view.View
	Writer      *view.Writer
	Peers       *peer.Pool
	Servers     *backend.Client
	Events      *timeline.Recorder
	// Hosts returns the peer addresses of all known hosts, this one included.
	Hosts func() []string
	// Witness returns the peer address of a live host that is not in except, preferably in
	// a zone other than zone, or "" if there is none. Equal arguments give the same address
	// as long as the same hosts are live.
	Witness func(subject, zone string, except []string) string
	// Clock is the host's monotonic clock.
	Clock func() time.Duration
}

// Handover is one slice that a session owns, with the epoch of its ownership, and
// the successor with the epoch under which that will own the slice. Moving
// reports that the slice is to move to the successor while the session is open.
type Handover struct {
	Key       ownership.SliceKey
	Epoch     record.Epoch
	Successor record.SessionID
	NextEpoch record.Epoch
	Moving    bool
}

// Keeper runs one host's part, as a lessor, in one session.
type Keeper struct {
	deps    Deps
	self    string
	id      record.SessionID
	service string
	zone    string
	addr    string
	// incarnation is the backend server's incarnation.
	incarnation string
	values      settings.Values
	// wake makes the next renewal begin at once.
	wake     chan struct{}
	observer Observer

	// mu guards the lessor and the states below, except fields whose comments say otherwise.
	mu     sync.Mutex
	lessor *lease.Lessor
	lessorState
	primaryState
	serverState
	sliceState
	idState

	done atomic.Bool
}

// Observer receives events of a Keeper's server and session. Its methods must not
// block and must not call the Keeper.
type Observer interface {
	// ServerAnswered reports the answer to a grant that was sent at the given time.
	ServerAnswered(asked time.Time, reply backend.GrantReply)
	// BecamePrimary reports that this host has become the session's primary.
	BecamePrimary(values settings.Values)
	// SessionEnded reports that nothing more may be sent under the session; crashed
	// is true if this lessor has proposed to close it, as after a crash of its server.
	SessionEnded(crashed bool)
}

// New returns a Keeper for an open session. Run starts it.
func New(deps Deps, session *ownership.Session, values settings.Values, observer Observer) *Keeper {
	k := &Keeper{
		deps:        deps,
		id:          session.ID,
		service:     session.Service,
		zone:        session.Zone,
		addr:        session.Addr,
		incarnation: session.Incarnation,
		values:      withLeaseTerms(values, session.Terms),
		wake:        make(chan struct{}, 1),
		observer:    observer,
		lessorState: lessorState{lessors: session.Lessors, former: session.Former},
		sliceState:  newSliceState(),
	}
	config := lease.Config{
		LeadTTL:       k.values.LeadTTL,
		LeaseTTL:      k.values.LeaseTTL,
		DriftPermille: k.values.DriftPermille,
	}
	k.self = lease.LessorName(record.Lessor{Host: deps.Host, Incarnation: deps.Incarnation})
	k.lessor = lease.New(config, k.self, session.ID, session.Version, lessorSet(session))
	k.idState = newIDState(k.self, values.IDRetention)
	return k
}

// withLeaseTerms returns the settings with the lease durations that were fixed when
// the session was opened. Later changes of the settings do not apply to it, because
// all lessors of a session must use equal durations.
func withLeaseTerms(values settings.Values, terms record.LeaseTerms) settings.Values {
	if terms == (record.LeaseTerms{}) {
		terms = TermsOf(settings.Defaults())
	}
	values.LeadTTL = time.Duration(terms.LeadTTLMS) * time.Millisecond
	values.LeaseTTL = time.Duration(terms.LeaseTTLMS) * time.Millisecond
	values.DriftPermille = terms.DriftPermille
	return values
}

// TermsOf returns the lease terms of a session that is opened under the settings.
func TermsOf(values settings.Values) record.LeaseTerms {
	return record.LeaseTerms{
		LeadTTLMS:     values.LeadTTL.Milliseconds(),
		LeaseTTLMS:    values.LeaseTTL.Milliseconds(),
		DriftPermille: values.DriftPermille,
	}
}

// Run runs the Keeper's loops until the context ends or, according to the log, the
// session is closed or this host is not a lessor any more.
func (k *Keeper) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){k.primaryLoop, k.renewLoop, k.closeLoop, k.moveLoop, k.copyLoop, k.witnessLoop} {
		loops.Go(func() { loop(ctx) })
	}
	k.syncLoop(ctx)
	cancel()
	loops.Wait()
}

// ID returns the session's ID.
func (k *Keeper) ID() record.SessionID { return k.id }

// Done reports whether, according to the log, the session is closed or this host is
// not a lessor any more.
func (k *Keeper) Done() bool { return k.done.Load() }

// Primary returns the host that this lessor knows as primary, or "", and whether
// it is this host.
func (k *Keeper) Primary() (host string, self bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock()
	if k.lessor.IsPrimary(now) {
		return k.deps.Host, true
	}
	return k.hostOf(k.lessor.Holder(now)), false
}

// hostOf returns the host with the given lessor name, or "" if it is not a present lessor.
func (k *Keeper) hostOf(name string) string {
	for _, lessor := range k.lessors {
		if lease.LessorName(lessor) == name {
			return lessor.Host
		}
	}
	return ""
}

// HandleLead answers another lessor that requests consent or steps down.
func (k *Keeper) HandleLead(request lease.LeadRequest) lease.LeadReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.HandleLead(k.deps.Clock(), request)
}

// Retired reports whether this lessor acts only for the given version or newer
// ones, and if so returns the request IDs that it stores.
func (k *Keeper) Retired(version logservice.Offset) (bool, []idempotency.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lessor.Version() < version {
		return false, nil
	}
	return true, k.requestIDs.Snapshot(nil)
}

// OtherLessors returns the session's lessors except this one.
func (k *Keeper) OtherLessors() []record.Lessor {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.others()
}

func (k *Keeper) others() []record.Lessor {
	return slices.DeleteFunc(slices.Clone(k.lessors), func(l record.Lessor) bool {
		return lease.LessorName(l) == k.self
	})
}

// consenters returns the lessors whose consent is requested: the other lessors
// and, after a replacement, the former ones, which may still have a primary.
func (k *Keeper) consenters() []record.Lessor {
	all := k.others()
	for _, lessor := range k.former {
		if lease.LessorName(lessor) != k.self && !slices.Contains(all, lessor) {
			all = append(all, lessor)
		}
	}
	return all
}

// ReportNoAnswer reports that a request got no answer from the server. The next
// renewal is sent at once, to find out whether the server still answers.
func (k *Keeper) ReportNoAnswer() {
	k.mu.Lock()
	k.unresponsive = true
	k.mu.Unlock()
	k.wakeRenewal()
}

// wakeRenewal makes the next renewal begin at once.
func (k *Keeper) wakeRenewal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// lessorSet returns the session's lessors in the form of package lease.
func lessorSet(session *ownership.Session) lease.Lessors {
	return lease.Lessors{
		Names:       lessorNames(session.Lessors),
		Since:       session.LessorsSince,
		Sealed:      session.Sealed(),
		Former:      lessorNames(session.Former),
		FormerSince: session.FormerSince,
	}
}

func lessorNames(lessors []record.Lessor) []string {
	names := make([]string, 0, len(lessors))
	for _, lessor := range lessors {
		names = append(names, lease.LessorName(lessor))
	}
	return names
}

// CheckIncarnation starts to close the session if the server answered a request
// under an incarnation other than the session's. "" means that the answer had none.
func (k *Keeper) CheckIncarnation(incarnation string) {
	if incarnation != "" && incarnation != k.incarnation {
		k.record(timeline.KindServerRestarted, "")
		k.startClose("server restarted", lease.ProofNewIncarnation)
	}
}

func (k *Keeper) record(kind timeline.Kind, detail string) {
	k.deps.Events.Record(timeline.Event{
		Kind:    kind,
		Offset:  k.deps.View.Applied(),
		Session: k.id,
		Service: k.service,
		Server:  k.addr,
		Zone:    k.zone,
		Detail:  detail,
	})
}
