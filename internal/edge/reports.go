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
	// connectionReportInterval is the least time between two reports of new connections and lost grants.
	connectionReportInterval = 50 * time.Millisecond
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
		args := h.shortReport()
		args.Announcement = false
		args.Rates = h.ingress.KeyRates()
		args.Slowness = h.fleet.Slowness(now)
		args.Limits = limits
		args.Speeds = h.ingress.Speeds(now)
		h.report(ctx, args)
	})
}

// shortReport returns a report of the host's state without loads.
func (h *Host) shortReport() ReportArgs {
	return ReportArgs{
		Host: h.self.Name, Incarnation: h.self.Incarnation, Plan: h.current.Plan().Version, Announcement: true,
		// What is lost was found with the connections that are open now, so these are counted last.
		Lost: h.renewer.Lost(), Connections: h.connections.Newest(),
	}
}

// reportConnections is the loop that tells the leader of new connections and lost grants at once.
func (h *Host) reportConnections(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.renewer.News():
		}
		h.report(ctx, h.shortReport())
		loop.Sleep(ctx, connectionReportInterval)
	}
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
	h.report(ctx, h.shortReport())
}

// passTo passes the report on to the leader on this host.
func (r ReportArgs) passTo(l *leader.Leader) {
	from := leader.Reporter{Name: r.Host, Incarnation: r.Incarnation, Plan: r.Plan, Connections: r.Connections}
	if r.Announcement {
		l.Heard(from, r.Lost)
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
