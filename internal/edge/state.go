package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/eventlog"
	"github.com/poplarcroft/poplarcroft/internal/follow"
	"github.com/poplarcroft/poplarcroft/internal/leader"
)

const (
	// planKey is the key of the plan; hostPrefix begins the keys of hosts.
	planKey    = "plan"
	hostPrefix = "host/"
	// stateWait is how long one read waits for a change. It bounds the age of the
	// confirmation that the plan is the newest.
	stateWait = 2000 * time.Millisecond
	// registerTimeout bounds the registration of this host.
	registerTimeout = time.Second
)

// state follows the hosts' own topic: the plan and the list of hosts. It is safe for concurrent use.
type state struct {
	platform Platform
	current  *assign.Current
	clock    func() time.Duration
	log      *eventlog.Log
	// changed is told of changes, confirmed of each read that succeeded.
	changed, confirmed func()

	mu    sync.Mutex
	next  uint64
	hosts map[string]assign.Host
}

// read takes over what has changed.
func (s *state) read(ctx context.Context, follower *follow.Follower, wait time.Duration) error {
	started := s.clock()
	change, err := follower.Read(ctx, wait)
	if err != nil {
		s.current.Interrupt()
		return err
	}
	learned := s.clock()
	if change.Age.Relayed {
		// The answer may have been held up on its way, the question not.
		learned = started - change.Age.Arrived
	}
	for _, record := range change.Records {
		s.apply(record, learned)
	}
	s.mu.Lock()
	s.next = follower.Next()
	s.mu.Unlock()
	if !change.Whole {
		s.current.Verify(started - change.Age.Confirmed)
	}
	if len(change.Records) > 0 {
		s.changed()
	}
	s.confirmed()
	return nil
}

// apply takes one record. It did not exist yet, or only just, at the given time.
func (s *state) apply(record follow.Record, learned time.Duration) {
	switch {
	case record.Key == planKey:
		s.applyPlan(record, learned)
	case strings.HasPrefix(record.Key, hostPrefix):
		s.applyHost(record)
	}
}

func (s *state) applyPlan(record follow.Record, learned time.Duration) {
	plan, err := decodePlan(record)
	if err != nil {
		s.log.Event("plan", "offset", record.Offset, "outcome", "rejected", "err", err.Error())
		return
	}
	if s.current.Adopt(plan, learned) {
		s.log.Event("plan", "version", uint64(plan.Version), "leader", plan.Leader.Name, "hosts", len(plan.Hosts), "outcome", "adopted")
	}
}

func decodePlan(record follow.Record) (assign.Plan, error) {
	var plan assign.Plan
	if err := json.Unmarshal(record.Value, &plan); err != nil {
		return assign.Plan{}, errors.Wrap(err, "plan")
	}
	if !plan.Valid() {
		return assign.Plan{}, errors.New("plan: keys are not covered once")
	}
	plan.Version = assign.FenceAt(record.Offset)
	return plan, nil
}

func (s *state) applyHost(record follow.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(record.Value) == 0 {
		delete(s.hosts, record.Key)
		return
	}
	var host assign.Host
	if err := json.Unmarshal(record.Value, &host); err != nil {
		s.log.Event("host", "key", record.Key, "outcome", "rejected", "err", err.Error())
		return
	}
	s.hosts[record.Key] = host
}

// list returns the registered hosts.
func (s *state) list() []assign.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []assign.Host
	for _, host := range s.hosts {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b assign.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// register writes this host's entry.
func (s *state) register(ctx context.Context, self assign.Host) error {
	value, err := json.Marshal(self)
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "host entry")
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err = s.platform.AppendState(ctx, hostPrefix+self.Name, value, nil)
	return err
}

// NextVersion implements leader.Store.
func (s *state) NextVersion() assign.Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return assign.FenceAt(s.next)
}

// Write implements leader.Store.
func (s *state) Write(ctx context.Context, plan assign.Plan, next assign.Fence) (assign.Plan, error) {
	value, err := json.Marshal(plan)
	if err != nil {
		return assign.Plan{}, errors.NewAssertionErrorWithWrappedErrf(err, "plan")
	}
	at := uint64(next) - 1
	offset, err := s.platform.AppendState(ctx, planKey, value, &at)
	if errors.Is(err, ErrConflict) {
		return assign.Plan{}, errors.Mark(err, leader.ErrConflict)
	}
	if err != nil {
		return assign.Plan{}, err
	}
	plan.Version = assign.FenceAt(offset)
	s.mu.Lock()
	s.next = max(s.next, offset+1)
	s.mu.Unlock()
	return plan, nil
}
