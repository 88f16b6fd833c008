package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// A time limit says something about the deployment only while its processes get CPU time. The kernel counts how
// long the threads of a process have been ready to run without a CPU (schedstat). If that wait was long during
// a measured period, the period's time limit is not enforced. The condition itself must still hold within
// starvedLimit.
const (
	// sampleInterval is the time between two samples of the kernel's counters.
	sampleInterval = 500 * time.Millisecond
	// starvedThreshold is the wait of all threads of a process within one sampleInterval above which the process
	// counts as starved.
	starvedThreshold = sampleInterval / 5
	// starvedLimit replaces a time limit that is not enforced, so that a hang is still detected.
	starvedLimit = 30 * time.Second
)

// starvationMonitor detects when processes of a run get too little CPU time.
type starvationMonitor struct {
	run  *run
	stop chan struct{}
	done chan struct{}

	mu      sync.Mutex
	starved []starvation
}

// starvation records that a process was starved of CPU: waited is its wait in the sample interval that ended at the
// time at.
type starvation struct {
	at      time.Time
	process string
	waited  time.Duration
}

// startStarvationMonitor starts the sampling of r's processes until close.
func startStarvationMonitor(r *run) *starvationMonitor {
	m := &starvationMonitor{run: r, stop: make(chan struct{}), done: make(chan struct{})}
	go m.watch()
	return m
}

func (m *starvationMonitor) close() {
	close(m.stop)
	<-m.done
}

func (m *starvationMonitor) watch() {
	defer close(m.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	previous := make(map[int]time.Duration)
	for {
		select {
		case <-m.stop:
			return
		case now := <-ticker.C:
			previous = m.sample(now, previous)
		}
	}
}

// sample records the processes that were starved since the previous sample. A sample holds the total wait of each
// process, by process ID; sample returns the present one.
func (m *starvationMonitor) sample(now time.Time, previous map[int]time.Duration) map[int]time.Duration {
	waits := make(map[int]time.Duration)
	for _, p := range m.run.processes() {
		pid := p.process.cmd.Process.Pid
		wait, err := processorWait(pid)
		if err != nil {
			// The process has exited.
			continue
		}
		waits[pid] = wait
		before, ok := previous[pid]
		if ok && wait-before > starvedThreshold {
			m.mu.Lock()
			m.starved = append(m.starved, starvation{at: now, process: p.name, waited: wait - before})
			m.mu.Unlock()
		}
	}
	return waits
}

// since returns the first starvation detected after from, and whether there is one.
func (m *starvationMonitor) since(from time.Time) (starvation, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.starved {
		if s.at.After(from) {
			return s, true
		}
	}
	return starvation{}, false
}

// String returns the process and its wait as text.
func (s starvation) String() string {
	return fmt.Sprintf("%s waited %v for a CPU within %v", s.process, s.waited.Round(time.Millisecond), sampleInterval)
}

// processorWait returns the total time that the current threads of a process have been ready to run without a CPU.
func processorWait(pid int) (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			// The thread has exited.
			continue
		}
		wait, err := parseSchedstat(string(text))
		if err != nil {
			return 0, errors.Wrap(err, path)
		}
		total += wait
	}
	return total, nil
}

// parseSchedstat returns the time on a run queue from a schedstat file: the second of its three numbers, in
// nanoseconds.
func parseSchedstat(text string) (time.Duration, error) {
	fields := strings.Fields(text)
	if len(fields) != 3 {
		return 0, errors.Newf("schedstat has %d fields, want 3", len(fields))
	}
	wait, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(wait), err
}
