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
	// readyTimeout bounds the time until a host listens.
	readyTimeout = 10 * time.Second
	// stopTimeout bounds the time until a host has ended.
	stopTimeout = 10 * time.Second
	// kibibyte is the unit of memory in /proc.
	kibibyte = 1024
)

// hostProcess is a running host.
type hostProcess struct {
	cmd    *exec.Cmd
	caller string
	peer   string
}

// buildHost builds the host's binary and returns its path.
func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "poplarcroft")
	build := exec.Command("go", "build", "-o", binary, "github.com/poplarcroft/poplarcroft/cmd/poplarcroft")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// startHost starts a host and waits until it listens. The test's end stops it.
func startHost(t *testing.T, binary string, args ...string) *hostProcess {
	t.Helper()
	cmd := exec.Command(binary, append([]string{"serve"}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { stopHost(cmd) })
	late := time.AfterFunc(readyTimeout, func() { cmd.Process.Kill() })
	defer late.Stop()
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err, "host is not ready")
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

// stopHost ends a host, at once where it does not end in order.
func stopHost(cmd *exec.Cmd) {
	late := time.AfterFunc(stopTimeout, func() { cmd.Process.Kill() })
	defer late.Stop()
	// A host that has ended already needs no signal.
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
}

// residentBytes returns the memory that the process holds.
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
	t.Fatal("no resident memory in /proc")
	return 0
}
