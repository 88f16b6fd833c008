package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// clockTick is the unit of processor time in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are positions in /proc/PID/stat after
	// the command name.
	userTimeField   = 11
	systemTimeField = 12
)

// ProcessorTime returns the user and system time that the processes have taken
// so far. It needs Linux.
func ProcessorTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, errors.Wrapf(err, "load: processor time of process %d", pid)
		}
		ticks, err := parseTicks(stat)
		if err != nil {
			return 0, errors.Wrapf(err, "load: processor time of process %d", pid)
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

// parseTicks returns the user and system time in a /proc/PID/stat line. The
// command name in parentheses may contain spaces.
func parseTicks(stat []byte) (int64, error) {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.New("too few fields in stat")
	}
	user, err := strconv.ParseInt(string(fields[userTimeField]), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "user time")
	}
	system, err := strconv.ParseInt(string(fields[systemTimeField]), 10, 64)
	return user + system, errors.Wrap(err, "system time")
}
