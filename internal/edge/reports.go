package edge

import (
	"context"
	"maps"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/loop"
)

const (
	// reportInterval is the time between two load reports to the leader. While requests wait for a
	// slot at a server, or a server has named a new limit, it is queuedReportInterval.
	reportInterval       = 2 * time.Second
	queuedReportInterval = 300 * time.Millisecond
	// reportTimeout is the timeout of one message to another host.
	reportTimeout = 400 * time.Millisecond
)

// reportLoad is the loop that reports load, lost grants and slow servers to the leader.
func (h *Host) reportLoad(ctx context.Context) {
	h.announceStart(ctx)
	lastReport := clock.Monotonic()
	var reportedLimits map[string]float64
	loop.Every(ctx, queuedReportInterval, func(ctx context.Context) {
		now := clock.Monotonic()
		limits := h.fleet.Limits(now)
		if now-lastReport < reportInterval && !h.ingress.Queued() && maps.Equal(limits, reportedLimits) {
			return
		}
		lastReport, reportedLimits = now, limits
		h.report(ctx, ReportArgs{
			Host: h.self.Name, Incarnation: h.self.Incarnation, Plan: h.current.Plan().Version,
			Rates: h.ingress.KeyRates(), Lost: h.renewer.Lost(), Slowness: h.fleet.Slowness(now), Limits: limits,
			Speeds: h.ingress.Speeds(now),
		})
	})
}

// announceStart tells the leader that this incarnation runs, as soon as a plan names the leader. It proves that the former incarnation of
// this host has ended.
func (h *Host) announceStart(ctx context.Context) {
	plan, changed := h.current.Watch()
	for plan.Version == 0 {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		plan, changed = h.current.Watch()
	}
	h.report(ctx, ReportArgs{Host: h.self.Name, Incarnation: h.self.Incarnation, Plan: plan.Version, Announcement: true})
}

// passTo passes the report on to the leader on this host.
func (r ReportArgs) passTo(l *leader.Leader) {
	from := leader.Reporter{Name: r.Host, Incarnation: r.Incarnation, Plan: r.Plan}
	if r.Announcement {
		l.Heard(from)
		return
	}
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
