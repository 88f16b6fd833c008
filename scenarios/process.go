package scenarios

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cmd/ctlcmd"
)

const (
	// readyPrefix begins the line that a process prints when it listens.
	readyPrefix = "ready "
	// readyTimeout bounds the time until a process is ready.
	readyTimeout = 15 * time.Second
	// exitTimeout bounds the time until a terminated process has ended.
	exitTimeout = 20 * time.Second
	// outputMode is the mode of files with the output of processes.
	outputMode = 0o644
)

// process is a running process of the deployment.
type process struct {
	cmd *exec.Cmd
	// ready is what the process printed after "ready ".
	ready string
	// done closes when the process has ended; err is set before.
	done chan struct{}
	err  error
	// asked says that the script asked for the process's end.
	asked atomic.Bool
}

// startProcess starts a binary and waits until it is ready. Its output is
// appended to files in dir that carry its name.
func startProcess(dir, name, binary string, args ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, outputMode)
	if err != nil {
		return nil, errors.Wrap(err, "open output file")
	}
	cmd := exec.Command(binary, args...)
	cmd.Stderr = output
	// The kernel ends the process when the test binary ends in any other way than in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		output.Close()
		return nil, errors.Wrap(err, "open pipe")
	}
	if err := spawner.start(cmd); err != nil {
		output.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	ready := make(chan string, 1)
	go p.wait(stdout, output, ready)
	select {
	case p.ready = <-ready:
		return p, nil
	case <-p.done:
		return nil, errors.Newf("%s ended before it was ready: %v", name, p.err)
	case <-time.After(readyTimeout):
		p.kill()
		return nil, errors.Newf("%s not ready after %v", name, readyTimeout)
	}
}

// wait copies the process's output until it ends.
func (p *process) wait(stdout io.Reader, output *os.File, ready chan<- string) {
	defer output.Close()
	reader := bufio.NewReader(stdout)
	line, _ := reader.ReadString('\n')
	if text, ok := strings.CutPrefix(strings.TrimSpace(line), readyPrefix); ok {
		ready <- text
	}
	_, _ = output.WriteString(line)
	_, _ = io.Copy(output, reader)
	p.err = p.cmd.Wait()
	close(p.done)
}

// signal sends a signal to a process that has not ended.
func (p *process) signal(sig os.Signal) error {
	if p.ended() {
		return errors.New("has ended")
	}
	return p.cmd.Process.Signal(sig)
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// unexpected returns an error where the process ended without being asked to,
// other than by a poison request.
func (p *process) unexpected() error {
	if !p.ended() || p.asked.Load() || p.cmd.ProcessState.ExitCode() == ctlcmd.PoisonExitCode {
		return nil
	}
	return errors.Newf("ended by itself: %v", p.err)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.asked.Store(true)
	// The process may have ended by itself, which is as good.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate asks the process to end and waits for its end in order.
func (p *process) terminate() error {
	p.asked.Store(true)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return errors.Wrap(p.err, "did not end in order")
	case <-time.After(exitTimeout):
		return errors.Newf("has not ended %v after a termination signal", exitTimeout)
	}
}

// processSpawner starts processes from one thread that never ends: the kernel
// takes the end of the thread that started a process for the end of its parent.
type processSpawner struct {
	once     sync.Once
	requests chan spawnRequest
}

// spawnRequest asks for the start of a command.
type spawnRequest struct {
	cmd   *exec.Cmd
	reply chan error
}

var spawner = &processSpawner{requests: make(chan spawnRequest)}

func (s *processSpawner) start(cmd *exec.Cmd) error {
	s.once.Do(func() { go s.serve() })
	reply := make(chan error, 1)
	s.requests <- spawnRequest{cmd, reply}
	return <-reply
}

func (s *processSpawner) serve() {
	runtime.LockOSThread()
	for req := range s.requests {
		req.reply <- req.cmd.Start()
	}
}
