package leader

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/assign"
)

// TestLeaderTellsHowItBearsItsDuties checks the metrics by which an operator sees that a small host is too slow as leader.
func TestLeaderTellsHowItBearsItsDuties(t *testing.T) {
	l, reports := loadedLeader(195)
	assert.DeepEqual(t, l.Metrics(), Metrics{})
	for name, report := range reports {
		l.Report(Reporter{Name: name, Incarnation: "1"}, report, nil)
	}
	d := newDuties()
	assert.Equal(t, d.begin(5*time.Second), 5*time.Second, "a step that nobody has requested")
	d.requested(6 * time.Second)
	d.requested(7 * time.Second)
	assert.Equal(t, d.begin(8*time.Second), 6*time.Second, "the first request counts")
	assert.Equal(t, d.begin(9*time.Second), 9*time.Second)
	l.duties.computed(3 * time.Millisecond)
	l.duties.computed(time.Hour)
	l.duties.written(40 * time.Millisecond)
	m := l.Metrics()
	assert.Equal(t, m.ReportingHosts, 195)
	assert.Equal(t, m.StepMS.Count, int64(2))
	assert.Assert(t, m.StepMS.Max >= maxRecordedTime.Milliseconds()*9/10)
	assert.Equal(t, m.PlanMS.P50, int64(40))
}

// smallHostCores is the processor of the smallest host that may lead, and ownDutiesShare the part of it that the leader's duties
// may take. The least of measuredSeconds measurements counts.
const (
	smallHostCores = 0.16
	ownDutiesShare = 0.5

	measuredSeconds = 20
)

// processorTime returns the processor time of this process. Other processes may run beside, so the wall clock says nothing.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestSmallHostBearsTheLead guards against a leader whose duties need more than the processor of a small host: while keys move, ten
// steps and the reports of all hosts, each 0.3 s, in a second.
func TestSmallHostBearsTheLead(t *testing.T) {
	if raceEnabled {
		t.Skip("measures time, which the race detector changes")
	}
	for _, hosts := range []int{195, 300} {
		l, reports := loadedLeader(hosts)
		table, version := l.Table(), assign.FenceAt(0, 2)
		for name, report := range reports {
			l.Report(Reporter{Name: name, Incarnation: "1"}, report, nil)
		}
		plan, _ := l.nextPlan(assign.Plan{}, table, version)
		plan.Version = version
		l.Current.Adopt(plan)
		least := time.Hour
		for range measuredSeconds {
			began := processorTime(t)
			for range 10 {
				l.nextPlan(l.Current.Plan(), table, version+1)
			}
			for range 3 {
				for name, report := range reports {
					l.Report(Reporter{Name: name, Incarnation: "1"}, report, nil)
				}
			}
			least = min(least, processorTime(t)-began)
		}
		t.Logf("%d hosts: %v of processor time a second", hosts, least)
		assert.Assert(t, least.Seconds() < smallHostCores*ownDutiesShare, "%v a second", least)
	}
}
