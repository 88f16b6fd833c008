// Package keeper runs one host's part in the sessions that it is a lessor of:
// it asks for the lead, renews the backend server's lease, closes the session when the
// server is gone, and activates the session's slices at their successors.
//
// The rules are those of package lease; this package gives them a clock and
// messages. A Keeper is safe for concurrent use: its state is guarded by one
// lock, which is never held during I/O.
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

// Deps are what a keeper needs of its host.
type Deps struct {
	Host        string
	Incarnation string
	View        *view.View
	Writer      *view.Writer
	Peers       *peer.Pool
	Servers     *backend.Client
	Events      *timeline.Recorder
	// Hosts returns the peer addresses of all hosts that are known, this one included.
	Hosts func() []string
	// Witness returns the peer address of a live host that is none of the given ones, by
	// preference in another zone; it is the same for a subject as long as the hosts are. "" is none.
	Witness func(subject, zone string, except []string) string
	// Clock is the host's monotonic clock.
	Clock func() time.Duration
}

// Handover is what a slice's owner session leaves behind: the slice, its
// epoch, and the successor with the epoch that it will own under.
type Handover struct {
	Key       ownership.SliceKey
	Epoch     record.Epoch
	Successor record.SessionID
	NextEpoch record.Epoch
	Moving    bool
}

// Keeper is one host's part in one session.
type Keeper struct {
	deps    Deps
	self    string
	id      record.SessionID
	service string
	zone    string
	addr    string
	// incarnation is that of the backend server.
	incarnation string
	values      settings.Values
	kick        chan struct{}
	observer    Observer

	// mu guards the lessor and the states below, but for what says otherwise.
	mu     sync.Mutex
	lessor *lease.Lessor
	lessorState
	leadState
	serverState
	sliceState
	idState

	done atomic.Bool
}

// Observer is told what the keeper learns of its server. Its methods must not
// block and must not call the keeper.
type Observer interface {
	// ServerAnswered passes on the answer to a grant that was sent at the given time.
	ServerAnswered(asked time.Time, reply backend.GrantReply)
	// LeadGained says that this host leads the session from now on.
	LeadGained(values settings.Values)
	// SessionEnded says that nothing more may be sent under the session; died
	// tells whether its server has failed.
	SessionEnded(died bool)
}

// New returns a keeper of an open session. Run starts it.
func New(deps Deps, session *ownership.Session, values settings.Values, observer Observer) *Keeper {
	k := &Keeper{
		deps:        deps,
		id:          session.ID,
		service:     session.Service,
		zone:        session.Zone,
		addr:        session.Addr,
		incarnation: session.Incarnation,
		values:      withTerms(values, session.Terms),
		kick:        make(chan struct{}, 1),
		observer:    observer,
		lessorState: lessorState{lessors: session.Lessors, former: session.Former},
		sliceState:  newSliceState(),
	}
	config := lease.Config{
		LeadTTL:       k.values.LeadTTL,
		LeaseTTL:      k.values.LeaseTTL,
		DriftPermille: k.values.DriftPermille,
	}
	k.self = lease.Name(record.Lessor{Host: deps.Host, Incarnation: deps.Incarnation})
	k.lessor = lease.New(config, k.self, session.ID, session.Version, lessorSet(session))
	k.idState = newIDState(k.self, values.IDRetention)
	return k
}

// withTerms returns the settings with the durations of the session's lease, which
// do not change with the settings.
func withTerms(values settings.Values, terms record.LeaseTerms) settings.Values {
	if terms == (record.LeaseTerms{}) {
		terms = TermsOf(settings.Defaults())
	}
	values.LeadTTL = time.Duration(terms.LeadTTLMS) * time.Millisecond
	values.LeaseTTL = time.Duration(terms.LeaseTTLMS) * time.Millisecond
	values.DriftPermille = terms.DriftPermille
	return values
}

// TermsOf returns the terms of a session that is opened under the settings.
func TermsOf(values settings.Values) record.LeaseTerms {
	return record.LeaseTerms{
		LeadTTLMS:     values.LeadTTL.Milliseconds(),
		LeaseTTLMS:    values.LeaseTTL.Milliseconds(),
		DriftPermille: values.DriftPermille,
	}
}

// Run runs the keeper's duties until the context ends or the log shows the
// session closed.
func (k *Keeper) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){k.leadDuty, k.renewDuty, k.closeDuty, k.moveDuty, k.copyDuty, k.witnessDuty} {
		duties.Go(func() { duty(ctx) })
	}
	k.syncDuty(ctx)
	cancel()
	duties.Wait()
}

// ID returns the session's ID.
func (k *Keeper) ID() record.SessionID { return k.id }

// Done reports whether the log shows the session closed, or that the host is no lessor any more.
func (k *Keeper) Done() bool { return k.done.Load() }

// Lead returns the host that is known to lead, if any, and whether it is this one.
func (k *Keeper) Lead() (host string, self bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock()
	if k.lessor.IsLead(now) {
		return k.deps.Host, true
	}
	return k.hostOf(k.lessor.Holder(now)), false
}

// hostOf returns the host behind a lessor's name in the protocol, "" where there is none.
func (k *Keeper) hostOf(name string) string {
	for _, lessor := range k.lessors {
		if lease.Name(lessor) == name {
			return lessor.Host
		}
	}
	return ""
}

// HandleLead answers another lessor that asks for consent.
func (k *Keeper) HandleLead(request lease.LeadRequest) lease.LeadReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lessor.HandleLead(k.deps.Clock(), request)
}

// Retired reports whether this lessor acts under no version before the given
// one, and if so returns the request IDs that it remembers.
func (k *Keeper) Retired(version logservice.Offset) (bool, []idempotency.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lessor.Version() < version {
		return false, nil
	}
	return true, k.memory.Snapshot(nil)
}

// Others returns the session's other lessors.
func (k *Keeper) Others() []record.Lessor {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.others()
}

func (k *Keeper) others() []record.Lessor {
	return slices.DeleteFunc(slices.Clone(k.lessors), func(l record.Lessor) bool {
		return lease.Name(l) == k.self
	})
}

// consenters returns everybody whose consent may count: the other lessors and,
// while a replacement is not settled, the former ones.
func (k *Keeper) consenters() []record.Lessor {
	all := k.others()
	for _, lessor := range k.former {
		if lease.Name(lessor) != k.self && !slices.Contains(all, lessor) {
			all = append(all, lessor)
		}
	}
	return all
}

// Suspect tells the keeper that a request got no answer from the server, so
// that it asks the server at once.
func (k *Keeper) Suspect() {
	k.mu.Lock()
	k.inDoubt = true
	k.mu.Unlock()
	k.kickRenewal()
}

// kickRenewal lets the next renewal begin at once.
func (k *Keeper) kickRenewal() {
	select {
	case k.kick <- struct{}{}:
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
		names = append(names, lease.Name(lessor))
	}
	return names
}

// Answered tells the keeper under which incarnation the server answered a
// request. Another one ends the session at once.
func (k *Keeper) Answered(incarnation string) {
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
