package scenarios

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStarvationCountsOnlyAfterStart checks that a starvation counts for a period only
// if it was detected after the period's start.
func TestStarvationCountsOnlyAfterStart(t *testing.T) {
	start := time.Now()
	m := &starvationMonitor{starved: []starvation{{at: start, process: "zlin-h1", waited: 300 * time.Millisecond}}}
	_, starved := m.since(start)
	assert.Assert(t, !starved)
	seen, starved := m.since(start.Add(-time.Second))
	assert.Assert(t, starved)
	assert.Equal(t, seen.String(), "zlin-h1 waited 300ms for a CPU within 500ms")
}

func TestParseSchedstat(t *testing.T) {
	wait, err := parseSchedstat("5000 1500000 7\n")
	assert.NilError(t, err)
	assert.Equal(t, wait, 1500*time.Microsecond)
	for _, text := range []string{"", "1 2", "1 x 3"} {
		_, err := parseSchedstat(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

func TestProcessorWaitOfThisProcess(t *testing.T) {
	_, err := processorWait(os.Getpid())
	assert.NilError(t, err)
}
