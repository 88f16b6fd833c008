package edge

import (
	"context"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/clock"
	"github.com/poplarcroft/poplarcroft/internal/duty"
	"github.com/poplarcroft/poplarcroft/internal/leader"
	"github.com/poplarcroft/poplarcroft/internal/poison"
)

const (
	// reportEvery is the time between two reports to the leader, reportPressed that while
	// requests wait for a server.
	reportEvery   = 2 * time.Second
	reportPressed = 300 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// suspectsEvery is the time between two messages about requests that crash servers.
	suspectsEvery = time.Second
)

// reportLoad tells the leader the load on the keys whose servers this host sends to.
func (h *Host) reportLoad(ctx context.Context) {
	var reported time.Duration
	duty.Every(ctx, reportPressed, func(ctx context.Context) {
		now := clock.Monotonic()
		if now-reported < reportEvery && !h.door.Pressed() {
			return
		}
		reported = now
		h.report(ctx)
	})
}

func (h *Host) report(ctx context.Context) {
	args := ReportArgs{Host: h.self.Name, Rates: h.door.KeyRates(), Lost: h.renewer.Lost(), Slowness: h.fleet.Slowness(clock.Monotonic())}
	if h.leader.Leads() {
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

// shareSuspects tells all hosts of requests in whose course servers ended.
func (h *Host) shareSuspects(ctx context.Context) {
	var told uint64
	duty.Every(ctx, suspectsEvery, func(ctx context.Context) {
		h.guard.Expire()
		records, next := h.guard.Export(told)
		told = next
		if len(records) == 0 {
			return
		}
		h.log.Event("suspects", "records", len(records), "first", records[0].Fingerprint.String(), "server", records[0].Death.Addr)
		for _, host := range h.current.Plan().Hosts {
			if !host.Same(h.self) && !host.Retired {
				go h.tellSuspects(ctx, host, records)
			}
		}
	})
}

func (h *Host) tellSuspects(ctx context.Context, host assign.Host, records []poison.Record) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := h.peers.suspects(ctx, host, SuspectsArgs{Records: records}); err != nil {
		h.log.Routine("suspects", "host", host.Name, "outcome", "failed", "err", err.Error())
	}
}
