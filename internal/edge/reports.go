package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/loop"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

const (
	// reportInterval is the time between two load reports to the leader. While requests wait for a
	// slot at a server, it is queuedReportInterval.
	reportInterval       = 2 * time.Second
	queuedReportInterval = 300 * time.Millisecond
	// reportTimeout is the timeout of one message to another host.
	reportTimeout = 400 * time.Millisecond
	// suspectsInterval is the time between two messages about suspect requests.
	suspectsInterval = time.Second
)

// reportLoad is the loop that reports load, lost grants and slow servers to the leader.
func (h *Host) reportLoad(ctx context.Context) {
	var lastReport time.Duration
	loop.Every(ctx, queuedReportInterval, func(ctx context.Context) {
		now := clock.Monotonic()
		if now-lastReport < reportInterval && !h.ingress.Queued() {
			return
		}
		lastReport = now
		h.report(ctx)
	})
}

// report sends one report to the leader, or takes it over directly if this host is the leader.
func (h *Host) report(ctx context.Context) {
	args := ReportArgs{Host: h.self.Name, Rates: h.ingress.KeyRates(), Lost: h.renewer.Lost(), Slowness: h.fleet.Slowness(clock.Monotonic())}
	if h.leader.IsLeader() {
		h.leader.Report(args.Host, leader.Report{Rates: args.Rates, Slowness: args.Slowness}, args.Lost)
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

// shareSuspects is the loop that sends new evidence about suspect requests, those during which a
// server crashed, to all other hosts.
func (h *Host) shareSuspects(ctx context.Context) {
	var exported uint64
	loop.Every(ctx, suspectsInterval, func(ctx context.Context) {
		h.guard.Expire()
		records, next := h.guard.Export(exported)
		exported = next
		if len(records) == 0 {
			return
		}
		h.log.Event("suspects", "records", len(records), "first", records[0].Fingerprint.String(), "server", records[0].Death.Addr)
		for _, host := range h.current.Plan().Hosts {
			if !host.SameIncarnation(h.self) && !host.Retired {
				go h.sendSuspects(ctx, host, records)
			}
		}
	})
}

// sendSuspects sends the evidence to one host. A lost message is not repeated.
func (h *Host) sendSuspects(ctx context.Context, host assign.Host, records []poison.Record) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := h.peers.suspects(ctx, host, SuspectsArgs{Records: records}); err != nil {
		h.log.Routine("suspects", "host", host.Name, "outcome", "failed", "err", err.Error())
	}
}
