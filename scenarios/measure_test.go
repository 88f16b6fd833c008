package scenarios

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

var (
	measureFlag = flag.Int("measure", 0, "number of runs of each case of TestMeasureOutages; 0 skips the test")
	casesFlag   = flag.String("cases", "", "names of the cases to measure, separated by commas; empty for all")
)

// outageCase is a fault whose longest outage is measured. The script lines in fault
// run under load, at a random point of the servers' renewal interval.
type outageCase struct {
	name  string
	zones []string
	fault []string
}

// oneZone is a deployment of one zone with three hosts and four servers.
var oneZone = []string{"zone -hosts 3 -servers 4 brno-jih"}

// twoZones is a deployment of two zones, so that one of them can leave.
var twoZones = []string{"zone -hosts 3 -servers 2 brno-jih", "zone -hosts 3 -servers 2 zlin"}

var outageCases = []outageCase{
	{"none", oneZone, nil},
	{"server (log up)", oneZone, []string{"crash $OWNER"}},
	{"server (log down)", oneZone, []string{"log down", "sleep 200ms", "crash $OWNER"}},
	{"renewing host (log up)", oneZone, []string{"crash $RENEWER"}},
	{"renewing host (log down)", oneZone, []string{"log down", "sleep 200ms", "crash $RENEWER"}},
	{"server and renewing host (log up)", oneZone, []string{"crash $OWNER $RENEWER"}},
	{"server and renewing host (log down)", oneZone, []string{"log down", "sleep 200ms", "crash $OWNER $RENEWER"}},
	{"server frozen", oneZone, []string{"freeze $OWNER"}},
	{"renewing host frozen", oneZone, []string{"freeze $RENEWER"}},
	{"server cut from renewing host", oneZone, []string{"cut $RENEWER $OWNER"}},
	{"two of three hosts", oneZone, []string{"crash brno-jih-h1 brno-jih-h2"}},
	{"zone leaves", twoZones, []string{"exec poplarctl mark -log $LOG zone zlin leaving"}},
	{"zone leaves and returns", twoZones, []string{
		"exec poplarctl mark -log $LOG zone zlin leaving", "await 8s away revize zlin",
		"exec poplarctl mark -log $LOG zone zlin active", "await 15s used revize zlin"}},
}

// script returns the case as a script. The seed determines when the fault happens.
func (c outageCase) script(seed uint64) string {
	phase := time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(400 * time.Millisecond)))
	lines := []string{"service -keyed revize"}
	lines = append(lines, c.zones...)
	lines = append(lines, "start", "await 15s served revize", "owner revize/k1 OWNER", "renewer $OWNER RENEWER",
		"load start -repeat revize", fmt.Sprintf("sleep %v", 500*time.Millisecond+phase.Round(time.Millisecond)))
	lines = append(lines, c.fault...)
	lines = append(lines, "sleep 4s", "load check", "check")
	return strings.Join(lines, "\n") + "\n"
}

// TestMeasureOutages prints the median, 99th percentile and maximum over all runs of
// the longest outage of any key, as a table row per fault. It has no limit on the
// outages; it fails only if a script fails, for example on a violation that the
// check command finds.
func TestMeasureOutages(t *testing.T) {
	if *measureFlag == 0 {
		t.Skip("run with -args -measure N")
	}
	for _, c := range outageCases {
		if *casesFlag == "" || slices.Contains(strings.Split(*casesFlag, ","), c.name) {
			report(t, c, measure(t, c, *measureFlag))
		}
	}
}

// measure runs a case with the seeds 1 to runs, several in parallel, and returns the
// longest outage of each run in ascending order.
func measure(t *testing.T, c outageCase, runs int) []time.Duration {
	const parallelRuns = 3
	var (
		mu      sync.Mutex
		outages []time.Duration
		group   sync.WaitGroup
	)
	semaphore := make(chan struct{}, parallelRuns)
	for seed := range uint64(runs) {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			outage, output, ok := runOnce(t, c, seed+1)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				t.Errorf("%s, seed %d: failed\n%s", c.name, seed+1, output)
				return
			}
			outages = append(outages, outage)
		})
	}
	group.Wait()
	slices.Sort(outages)
	return outages
}

var outagePattern = regexp.MustCompile(`longest-outage=(\S+)`)

// runOnce runs a case once. It returns the longest outage, the script's output and
// whether the script succeeded.
func runOnce(t *testing.T, c outageCase, seed uint64) (time.Duration, string, bool) {
	dir := t.TempDir()
	err := os.WriteFile(filepath.Join(dir, "case.txtar"), []byte(c.script(seed)), 0o600)
	assert.Check(t, err)
	capture := &captureT{}
	capture.run(func() { testscript.RunT(capture, Params(dir, t.TempDir())) })
	output := capture.output.String()
	match := outagePattern.FindStringSubmatch(output)
	if capture.failed || match == nil {
		return 0, output, false
	}
	outage, err := time.ParseDuration(match[1])
	return outage, output, err == nil
}

// report prints a table row: the case, the number of runs and the median, 99th
// percentile and maximum of the outages.
func report(t *testing.T, c outageCase, outages []time.Duration) {
	if len(outages) == 0 {
		return
	}
	percentile := func(share float64) time.Duration {
		return outages[int(share*float64(len(outages)-1)+0.5)]
	}
	fmt.Printf("| %s | %d | %d ms | %d ms | %d ms |\n", c.name, len(outages),
		percentile(0.5).Milliseconds(), percentile(0.99).Milliseconds(), percentile(1).Milliseconds())
	if testing.Verbose() {
		t.Logf("%s: %v", c.name, outages)
	}
}

// captureT is a testscript.T that collects a script's output and result, so that a
// failed script does not end the test.
type captureT struct {
	output strings.Builder
	failed bool
}

// stopped is the panic value with which Skip and FailNow stop a script.
type stopped struct{}

func (c *captureT) run(f func()) {
	defer func() {
		if end := recover(); end != nil && end != any(stopped{}) {
			panic(end)
		}
	}()
	f()
}

func (c *captureT) Skip(args ...any)  { c.Log(args...); panic(stopped{}) }
func (c *captureT) Fatal(args ...any) { c.Log(args...); c.FailNow() }
func (c *captureT) Parallel()         {}
func (c *captureT) Log(args ...any)   { fmt.Fprintln(&c.output, args...) }
func (c *captureT) FailNow()          { c.failed = true; panic(stopped{}) }
func (c *captureT) Verbose() bool     { return true }

func (c *captureT) Run(_ string, f func(testscript.T)) {
	c.run(func() { f(c) })
}
