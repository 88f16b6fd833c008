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
	// clockTick is the unit of CPU time in /proc on Linux (USER_HZ = 100).
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are the indexes of these fields in
	// /proc/PID/stat, counted from the field after the command name.
	userTimeField   = 11
	systemTimeField = 12
)

// CPUTime returns the total user and system CPU time that the processes have used
// so far, in steps of clockTick. It reads /proc and needs Linux. It returns an
// error if a process does not exist.
func CPUTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, errors.Wrapf(err, "load: read CPU time of process %d", pid)
		}
		ticks, err := parseTicks(stat)
		if err != nil {
			return 0, errors.Wrapf(err, "load: read CPU time of process %d", pid)
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

// parseTicks returns the sum of user and system time, in clock ticks, from the
// content of /proc/PID/stat. The command name there is in parentheses and may
// itself contain spaces and parentheses.
func parseTicks(stat []byte) (int64, error) {
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.New("too few fields in /proc/PID/stat")
	}
	user, err := strconv.ParseInt(string(fields[userTimeField]), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse user time")
	}
	system, err := strconv.ParseInt(string(fields[systemTimeField]), 10, 64)
	return user + system, errors.Wrap(err, "parse system time")
}
