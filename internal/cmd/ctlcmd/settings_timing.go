package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// settingsTiming shows how long accepted settings took until they were in force on each host.
func settingsTiming(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var t target
	flags := newFlags("settings timing -admin ADDR,ADDR,...",
		"Shows the time from the publication of accepted settings until they were in force on all hosts named,\n"+
			"by the clocks of publisher and hosts. A version that a host skipped is in force with the next one.",
		[]string{"settings timing -admin 10.0.0.1:8081,10.0.0.2:8081"}, stdout, stderr)
	t.addAdmin(flags)
	if _, code, ok := flags.parse(args, 0, 0); !ok {
		return code
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	hosts := strings.Split(t.admin, ",")
	entries, err := t.historyOf(ctx, hosts[0])
	if err != nil {
		return fail(stderr, err)
	}
	timings := newTimings(entries)
	for _, address := range hosts {
		client, err := t.clientOf(address)
		if err != nil {
			return fail(stderr, err)
		}
		reply, err := client.Timeline(ctx, 0)
		if err != nil {
			return fail(stderr, err)
		}
		timings.addHost(reply.Events)
	}
	if err := timings.print(stdout); err != nil {
		return fail(stderr, err)
	}
	return cli.ExitOK
}

// historyOf returns the history that the host at an address reports.
func (t *target) historyOf(ctx context.Context, address string) ([]publish.HistoryEntry, error) {
	client, err := t.clientOf(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.History(ctx)
	return reply.Entries, err
}

// timing is when one version was published and came into force.
type timing struct {
	version   logservice.Offset
	published int64 // Unix milliseconds
	inForce   int64 // Unix milliseconds, on the last host
	missing   int   // hosts that reported no event of it
}

// timings are the timings of all accepted versions, in their order.
type timings []timing

// newTimings returns the timings of the accepted settings in a history, without any host.
func newTimings(entries []publish.HistoryEntry) timings {
	var all timings
	for _, entry := range entries {
		if entry.Accepted && entry.Record.Settings != nil {
			all = append(all, timing{version: entry.Offset, published: entry.Record.TimeMS})
		}
	}
	return all
}

// addHost adds the events of one host. A version is in force on a host from the host's
// first event of that version or a later one.
func (all timings) addHost(events []timeline.Event) {
	for i := range all {
		at, found := firstInForce(events, all[i].version)
		if !found {
			all[i].missing++
			continue
		}
		all[i].inForce = max(all[i].inForce, at)
	}
}

// firstInForce returns when the version came into force on the host with the events.
func firstInForce(events []timeline.Event, version logservice.Offset) (at int64, found bool) {
	for _, event := range events {
		if event.Kind == timeline.KindSettingsInForce && event.Offset >= version {
			return event.TimeMS, true
		}
	}
	return 0, false
}

// print writes a line for each version, and the quantiles over the versions that are in
// force on all hosts.
func (all timings) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tPUBLISHED\tIN FORCE AFTER\tHOSTS MISSING")
	var taken []int64
	for _, one := range all {
		after := "-"
		if one.missing == 0 {
			took := one.inForce - one.published
			taken = append(taken, took)
			after = fmt.Sprintf("%dms", took)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\n", one.version, time.UnixMilli(one.published).UTC().Format(time.RFC3339), after, one.missing)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(taken) == 0 {
		return nil
	}
	slices.Sort(taken)
	_, err := fmt.Fprintf(w, "%d versions: p50 %dms, p99 %dms, max %dms\n", len(taken), quantile(taken, 50), quantile(taken, 99), taken[len(taken)-1])
	return err
}

// quantile returns the nearest-rank quantile of sorted values in percent.
func quantile(sorted []int64, percent int) int64 {
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1]
}
