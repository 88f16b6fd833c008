package lease

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// livenessSeeds is the number of runs for each row of the table.
const livenessSeeds = 200

// serviceTarget is the time within which a slice must be served again after a loss.
const serviceTarget = 2 * time.Second

// losses are the failures after which the slice must be served again within serviceTarget.
var losses = []loss{
	{name: "lead", primary: true},
	{name: "another lessor", other: true},
	{name: "server", server: true},
	{name: "lead and server", primary: true, server: true},
	{name: "another lessor and server", other: true, server: true},
}

// row is the time without service, over all seeds of one loss.
type row struct {
	median, max time.Duration
}

// measure runs all seeds of one loss. start starts the protocol under test.
func measure(l loss, logUp bool, start func(*sim)) row {
	var times []time.Duration
	for seed := range uint64(livenessSeeds) {
		s := newSim(seed)
		start(s)
		s.schedule(l, logUp)
		times = append(times, s.run())
	}
	slices.Sort(times)
	return row{median: times[len(times)/2], max: times[len(times)-1]}
}

// TestServiceReturnsWithinTheTarget checks that a slice is served again in time
// after every loss. With -v it prints the table of docs/MEASUREMENTS-lease.md.
func TestServiceReturnsWithinTheTarget(t *testing.T) {
	var table strings.Builder
	fmt.Fprintln(&table, "| lost | log | median | max | baseline median | baseline max |")
	fmt.Fprintln(&table, "|---|---|---|---|---|---|")
	for _, l := range losses {
		for _, logUp := range []bool{true, false} {
			ours := measure(l, logUp, (*sim).startLessors)
			baseline := measure(l, logUp, (*sim).startBaseline)
			assert.Assert(t, ours.max <= serviceTarget, "%s lost, log up %v: %v", l.name, logUp, ours.max)
			fmt.Fprintf(&table, "| %s | %s | %s | %s | %s | %s |\n", l.name, upOrDown(logUp),
				inMS(ours.median), inMS(ours.max), inMS(baseline.median), inMS(baseline.max))
		}
	}
	t.Logf("time without service, %d seeds a row\n%s", livenessSeeds, table.String())
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func inMS(d time.Duration) string {
	return fmt.Sprintf("%d ms", d.Round(ms).Milliseconds())
}
