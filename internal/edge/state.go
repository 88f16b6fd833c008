package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	fastjson "github.com/segmentio/encoding/json"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/poison"
	"github.com/poplarcroft/poplarcroft/internal/registry"
)

const (
	// planKey is the key of the plan's record.
	planKey = "plan"
	// stateWait is how long one read of the topic waits for a change (long polling). Each read
	// that ends confirms that the plan is the newest one, so this also limits the confirmation's age.
	stateWait = 2000 * time.Millisecond
	// registerTimeout is the timeout of this host's registration.
	registerTimeout = time.Second
)

// state follows the topic of the hosts' shared state, the plan, the registered hosts and the evidence
// against requests that crash servers, and writes to it. It is safe for concurrent use.
type state struct {
	platform Platform
	current  *assign.Current
	clock    func() time.Duration
	log      *eventlog.Log
	// onChange is called after each read with changes, onRead after each successful read.
	onChange, onRead func()
	// onEvidence is called with the evidence against a request that has been read, or none if it has been removed.
	onEvidence func(poison.Fingerprint, []poison.Record)

	// selfKey is the key of this host's registration, which registration writes. Only the goroutine that reads uses them.
	selfKey      string
	registration *registry.Registration
	// registrationsReplaced counts the times that another registration has replaced this host's.
	registrationsReplaced atomic.Uint64
	// readRegistrations is set if the last read held registrations of hosts and nothing else. Only that goroutine uses it.
	readRegistrations bool

	// hosts holds the registered hosts.
	hosts registry.Hosts

	mu sync.Mutex
	// next is the position after the last record that was read or written.
	next follow.Position
	// evidenceWritten holds when the evidence in the topic was written, by key.
	evidenceWritten map[string]time.Time
}

// newState returns the state of a host that has not registered yet.
func newState(self assign.Host, platform Platform, current *assign.Current, clock func() time.Duration, log *eventlog.Log) *state {
	return &state{
		platform: platform, current: current, clock: clock, log: log,
		onChange: func() {}, onRead: func() {}, onEvidence: func(poison.Fingerprint, []poison.Record) {},
		selfKey: registry.Key(self.Name), registration: registry.NewRegistration(self),
		evidenceWritten: make(map[string]time.Time),
	}
}

// read reads the topic once, waiting for a change at most for the given time, and applies the
// changes.
func (s *state) read(ctx context.Context, follower *follow.Follower, wait time.Duration) error {
	started := s.clock()
	change, err := follower.Read(ctx, wait)
	if err != nil {
		s.current.NoteReadFailure()
		return err
	}
	if change.Snapshot {
		// A snapshot does not tell when its records were written.
		s.current.NoteReadFailure()
	}
	if change.Restored {
		s.registration.Restored()
		s.log.Event("restored", "topic", "state", "era", follower.Next().Era.Number(), "plan", uint64(s.current.Plan().Version))
	}
	for _, record := range change.Records {
		s.apply(record, follower.Next().Era)
	}
	s.readRegistrations = len(change.Records) > 0 && !slices.ContainsFunc(change.Records, func(record follow.Record) bool {
		return !registry.IsKey(record.Key)
	})
	s.mu.Lock()
	s.next = follower.Next()
	s.mu.Unlock()
	if !change.Snapshot {
		s.current.Verify(started-change.Age.Confirmed, follower.Next().Era.Number())
	}
	if len(change.Records) > 0 {
		s.onChange()
	}
	s.onRead()
	return nil
}

// apply applies one record, read in the given era.
func (s *state) apply(record follow.Record, era follow.Era) {
	switch {
	case record.Key == planKey:
		s.applyPlan(record, era)
	case registry.IsKey(record.Key):
		s.applyHost(record, era)
	case strings.HasPrefix(record.Key, evidencePrefix):
		s.applyEvidence(record)
	default:
		// Another build may keep records that this one does not know.
		s.log.Routine("record", "key", record.Key, "offset", record.Offset, "outcome", "ignored", "err", "unknown kind")
	}
}

// applyPlan adopts a plan if it is newer than the current one.
func (s *state) applyPlan(record follow.Record, era follow.Era) {
	plan, err := decodePlan(record)
	if err != nil {
		s.log.Event("plan", "offset", record.Offset, "outcome", "rejected", "err", err.Error())
		return
	}
	if s.current.AdoptFromLog(plan, era.Number()) {
		s.log.Event("plan", "version", uint64(plan.Version), "leader", plan.Leader.Name, "hosts", len(plan.Hosts), "outcome", "adopted",
			"copied", plan.Version.Era() < era.Number())
	}
}

// decodePlan decodes and checks a plan. Each host decodes each plan, of some 200 bytes for each range of keys, so the
// standard library's decoder would take a large part of a host's processor time while keys move. Its version follows from the era
// in which it was written and the record's offset.
func decodePlan(record follow.Record) (assign.Plan, error) {
	var plan assign.Plan
	if err := fastjson.Unmarshal(record.Value, &plan); err != nil {
		return assign.Plan{}, errors.Wrap(err, "plan")
	}
	if !plan.Valid() {
		return assign.Plan{}, errors.New("plan: a service's assignments don't cover every key exactly once")
	}
	plan.Version = assign.FenceAt(plan.Era, record.Offset)
	return plan, nil
}

// encodePlan encodes a plan as its record holds it.
func encodePlan(plan assign.Plan) ([]byte, error) {
	value, err := fastjson.Marshal(plan)
	if err != nil {
		return nil, errors.NewAssertionErrorWithWrappedErrf(err, "plan")
	}
	return value, nil
}

// applyHost adds, replaces or removes a registered host. The record of another incarnation under this host's name has been
// written late, or by a host that has the same name by mistake: this host registers again.
func (s *state) applyHost(record follow.Record, era follow.Era) {
	replacement, err := s.hosts.Apply(record)
	if err != nil {
		s.log.Event("host", "key", record.Key, "outcome", "rejected", "err", err.Error())
	}
	if record.Key == s.selfKey && s.registration.Observe(record, era) {
		s.registrationsReplaced.Add(1)
		s.log.Event("registration", "offset", record.Offset, "outcome", "own replaced", "by", replacement.Latter.Incarnation)
		return
	}
	s.logRegistration(replacement, record.Offset)
}

// logRegistration logs that the record of another incarnation of a host has been read.
func (s *state) logRegistration(replacement registry.Replacement, offset uint64) {
	former, host := replacement.Former, replacement.Latter
	if former.Name == "" || former.SameIncarnation(host) {
		return
	}
	s.log.Routine("registration", "name", former.Name, "incarnation", host.Incarnation, "offset", offset, "outcome", "read", "replaces", former.Incarnation)
}

// register writes this host's registration to the topic if it is due. A restore of the log can lose it, and the registration of a former
// incarnation that is carried out late can replace it.
func (s *state) register(ctx context.Context) error {
	if !s.registration.Due(s.clock()) {
		return nil
	}
	era := s.NextVersion().Era()
	value, err := s.registration.Record(era)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	position, err := s.platform.AppendState(ctx, s.selfKey, value, nil)
	if err != nil {
		return err
	}
	s.registration.Written(position, era, s.clock())
	s.log.Event("registration", "offset", position.Offset, "era", era, "outcome", "written")
	return nil
}

// NextVersion implements leader.Store. It returns the version of a plan that is written at the
// end of the topic as this host knows it.
func (s *state) NextVersion() assign.Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return assign.FenceAt(s.next.Era.Number(), s.next.Offset)
}

// Write implements leader.Store. It writes the plan only if it gets the version next, that is if no
// host has written to the topic meanwhile; otherwise it returns leader.ErrConflict. That is also the
// error if the log has been restored since the era of next. The plan may then be in the log, but
// its version is of an older era, so no leader builds on it without asking the other hosts.
func (s *state) Write(ctx context.Context, plan assign.Plan, next assign.Fence) (assign.Plan, error) {
	plan.Era = next.Era()
	value, err := encodePlan(plan)
	if err != nil {
		return assign.Plan{}, err
	}
	at := next.Offset()
	position, err := s.platform.AppendState(ctx, planKey, value, &at)
	if errors.Is(err, ErrConflict) {
		return assign.Plan{}, errors.Mark(err, leader.ErrConflict)
	}
	if err != nil {
		return assign.Plan{}, err
	}
	if position.Era != follow.UnknownEra && position.Era.Number() != next.Era() {
		return assign.Plan{}, errors.Wrapf(leader.ErrConflict, "the log is in era %d", position.Era.Number())
	}
	plan.Version = next
	s.mu.Lock()
	if s.next.Era.Number() == next.Era() {
		s.next.Offset = max(s.next.Offset, position.Offset+1)
	}
	s.mu.Unlock()
	return plan, nil
}
