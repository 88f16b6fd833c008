package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// readyTimeout is the time within which a host must report that it listens.
	readyTimeout = 10 * time.Second
	// stopTimeout is the time after which a host that got SIGTERM is killed.
	stopTimeout = 10 * time.Second
	// kibibyte is the unit of memory in /proc, in bytes.
	kibibyte = 1024
)

// hostProcess is a running host.
type hostProcess struct {
	cmd *exec.Cmd
	// caller and peer are the addresses on which the host listens for callers and for other hosts.
	caller string
	peer   string
}

// buildHost compiles the host's binary and returns its path.
func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "poplarcroft")
	build := exec.Command("go", "build", "-o", binary, "github.com/poplarcroft/poplarcroft/cmd/poplarcroft")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// startHost starts a host and waits for its first output line, which names its addresses. The host is stopped at the end of
// the test, and killed by the kernel if the test process itself ends before.
func startHost(t *testing.T, binary string, args ...string) *hostProcess {
	t.Helper()
	cmd := exec.Command(binary, append([]string{"serve"}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { stopHost(cmd) })
	kill := time.AfterFunc(readyTimeout, func() { cmd.Process.Kill() })
	defer kill.Stop()
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err, "host ended before it printed its ready line")
	p := &hostProcess{cmd: cmd}
	for _, field := range strings.Fields(line) {
		if addr, ok := strings.CutPrefix(field, "caller="); ok {
			p.caller = addr
		}
		if addr, ok := strings.CutPrefix(field, "peer="); ok {
			p.peer = addr
		}
	}
	return p
}

// stopHost stops a host with SIGTERM, and kills it after stopTimeout.
func stopHost(cmd *exec.Cmd) {
	kill := time.AfterFunc(stopTimeout, func() { cmd.Process.Kill() })
	defer kill.Stop()
	// The signal fails if the host has already ended, which is no error here.
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
}

// residentBytes returns the resident memory of the process in bytes.
func residentBytes(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range bytes.Lines(status) {
		if value, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kib, err := strconv.ParseFloat(string(bytes.Fields(value)[0]), 64)
			assert.NilError(t, err)
			return kib * kibibyte
		}
	}
	t.Fatal("no VmRSS line in /proc/PID/status")
	return 0
}
