package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/front"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/sharedlimit"
)

// usageTimeout is the timeout of a report. It is longer than that of other messages: a small host that leads may take long
// while keys move, and a report that is given up leaves the host without an answer.
const usageTimeout = 900 * time.Millisecond

// usageMethod is the RPC method for reports of usage. Builds up to b5ff72c lack it.
const usageMethod = rpcName + ".Usage"

// reportUsage is the loop that reports to the leader what this host has admitted of the quotas of accounts, while the
// configuration has any.
func (s *shareLeasing) reportUsage(ctx context.Context) {
	leader := ""
	loop.Every(ctx, sharedlimit.UsageInterval, func(ctx context.Context) {
		if !s.quotas() {
			return
		}
		to := s.office().Plan.Leader
		if to.Addr == "" {
			return
		}
		if to.Incarnation != leader && to.SameIncarnation(s.self) {
			s.meter.Reset()
		}
		leader = to.Incarnation
		s.reportUsageOnce(ctx, to)
	})
}

// reportUsageOnce sends one report and applies the answer.
func (s *shareLeasing) reportUsageOnce(ctx context.Context, to assign.Host) {
	sentAt := s.clock()
	report := s.usage.Report(s.self.Name, s.self.Incarnation)
	answer, err := s.sendUsage(ctx, to, report)
	switch {
	case err != nil && lacksMethod(err, usageMethod):
		// Without answers every request needs a share, of which hosts get equal ones.
		s.log.Routine("usage", "leader", to.Name, "outcome", "unknown method", "err", err.Error())
	case err != nil:
		s.log.Routine("usage", "leader", to.Name, "outcome", "failed", "err", err.Error())
	case !answer.Known:
		s.log.Routine("usage", "leader", to.Name, "outcome", "not the leader")
	default:
		s.usage.Answered(answer, sentAt)
	}
}

// sendUsage sends a report to the leader, or counts it if this host is the leader.
func (s *shareLeasing) sendUsage(ctx context.Context, to assign.Host, report sharedlimit.UsageReport) (sharedlimit.UsageAnswer, error) {
	if to.SameIncarnation(s.self) {
		return s.countUsage(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	var answer sharedlimit.UsageAnswer
	err := s.peers.pool.Call(ctx, to.Addr, usageMethod, report, &answer)
	return answer, err
}

// countUsage counts a report if this host is the leader by its newest plan.
func (s *shareLeasing) countUsage(report sharedlimit.UsageReport) sharedlimit.UsageAnswer {
	if !s.office().Plan.Leader.SameIncarnation(s.self) {
		return sharedlimit.UsageAnswer{}
	}
	answer := s.meter.Add(report, s.clock())
	s.logTight(answer.Tight)
	return answer
}

// logTight logs the limits that have become tight or have ceased to be.
func (s *shareLeasing) logTight(tight []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := make(map[string]bool, len(tight))
	for _, id := range tight {
		now[id] = true
		if !s.tight[id] {
			s.log.Event("quota", "limit", id, "outcome", "tight, hosts need shares")
		}
	}
	for id := range s.tight {
		if !now[id] {
			s.log.Event("quota", "limit", id, "outcome", "no longer tight")
		}
	}
	s.tight = now
}

// Usage counts another host's report of usage.
func (s *rpcService) Usage(report sharedlimit.UsageReport, reply *sharedlimit.UsageAnswer) error {
	if s.shares == nil {
		return nil
	}
	*reply = s.shares.countUsage(report)
	return nil
}

// quotaOf returns the limit of an account's quota by its name in shares, and false if it has none.
func (h *Host) quotaOf(id string) (sharedlimit.Limit, bool) {
	table := h.operatorRecords.Table()
	if table == nil {
		return sharedlimit.Limit{}, false
	}
	return front.QuotaByID(table, id)
}

// hasQuotas reports whether the configuration has quotas of accounts.
func (h *Host) hasQuotas() bool {
	table := h.operatorRecords.Table()
	return table != nil && anyQuota(table)
}
