package edge

import (
	"context"
	"maps"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// reportInterval is the time between two load reports to the leader. While requests wait for a
	// slot at a server, or if a server has named a new limit or another host leads, it is queuedReportInterval.
	reportInterval       = 2 * time.Second
	queuedReportInterval = 300 * time.Millisecond
	// reportTimeout is the timeout of one message to another host.
	reportTimeout = 400 * time.Millisecond
)

// reportLoad is the loop that reports load, lost grants and slow servers to the leader. The first report is sent as soon as
// a plan names the leader: it tells that the former incarnation of this host has ended.
func (h *Host) reportLoad(ctx context.Context) {
	h.awaitFirstPlan(ctx)
	var lastReport time.Duration
	var reportedLimits map[string]float64
	var reportedTo assign.Host
	loop.Every(ctx, queuedReportInterval, func(ctx context.Context) {
		now := clock.Monotonic()
		limits := h.fleet.Limits(now)
		plan := h.current.Plan()
		sameLeader := plan.Leader.SameIncarnation(reportedTo)
		if now-lastReport < reportInterval && sameLeader && !h.ingress.Queued() && maps.Equal(limits, reportedLimits) {
			return
		}
		lastReport, reportedLimits, reportedTo = now, limits, plan.Leader
		h.report(ctx, ReportArgs{
			Host: h.self.Name, Incarnation: h.self.Incarnation, Plan: plan.Version, Rates: h.ingress.KeyRates(), Lost: h.renewer.Lost(), Slowness: h.fleet.Slowness(now), Limits: limits,
			Speeds: h.ingress.Speeds(now),
		})
	})
}

// awaitFirstPlan waits until this host knows a plan, or the context ends.
func (h *Host) awaitFirstPlan(ctx context.Context) {
	for {
		plan, changed := h.current.Watch()
		if plan.Version != 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// passTo passes the report on to the leader on this host.
func (r ReportArgs) passTo(l *leader.Leader) {
	from := leader.Reporter{Name: r.Host, Incarnation: r.Incarnation, Plan: r.Plan}
	l.Report(from, leader.Report{Rates: r.Rates, Slowness: r.Slowness, Limits: r.Limits, Speeds: r.Speeds}, r.Lost)
}

// report sends one report to the leader, or takes it over directly if this host is the leader.
func (h *Host) report(ctx context.Context, args ReportArgs) {
	if h.leader.IsLeader() {
		args.passTo(h.leader)
		return
	}
	to := h.current.Plan().Leader
	if to.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := h.peers.report(ctx, to, args); err != nil {
		h.log.Routine("report", "leader", to.Name, "outcome", "failed", "err", err.Error())
	}
}
