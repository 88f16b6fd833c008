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
	// readyPrefix begins the line that a process prints once it listens.
	readyPrefix = "ready "
	// readyTimeout limits the time until a process is ready.
	readyTimeout = 15 * time.Second
	// exitTimeout limits the time until a process has exited after SIGTERM.
	exitTimeout = 20 * time.Second
	// outputMode is the mode of the files that a run creates.
	outputMode = 0o644
)

// process is a process of the deployment that has been started.
type process struct {
	cmd *exec.Cmd
	// readyText is what the process printed after readyPrefix: the listen address of
	// a stand-in, or the addresses of a host (see parseHostAddrs).
	readyText string
	// done closes when the process has exited; err is its exit error and set before.
	done chan struct{}
	err  error
	// exitRequested says that the script killed or terminated the process.
	exitRequested atomic.Bool
}

// startProcess starts a binary and waits until it is ready. Its output is appended
// to the file NAME.log in dir.
func startProcess(dir, name, binary string, args ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, outputMode)
	if err != nil {
		return nil, errors.Wrap(err, "open output file")
	}
	cmd := exec.Command(binary, args...)
	cmd.Stderr = output
	// The kernel kills the process when the test process exits without having killed it.
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
	case p.readyText = <-ready:
		return p, nil
	case <-p.done:
		return nil, errors.Newf("%s exited before it was ready: %v", name, p.err)
	case <-time.After(readyTimeout):
		p.kill()
		return nil, errors.Newf("%s is not ready after %v", name, readyTimeout)
	}
}

// wait sends the text of the process's ready line to ready, copies the process's
// output until it exits and then sets err and closes done.
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

// signal sends a signal. It returns an error if the process has exited.
func (p *process) signal(sig os.Signal) error {
	if p.ended() {
		return errors.New("the process has exited")
	}
	return p.cmd.Process.Signal(sig)
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// unexpectedExit returns an error if the process has exited though the script
// neither killed nor terminated it, and not by a poison request either.
func (p *process) unexpectedExit() error {
	if !p.ended() || p.exitRequested.Load() || p.cmd.ProcessState.ExitCode() == ctlcmd.PoisonExitCode {
		return nil
	}
	return errors.Newf("exited unexpectedly: %v", p.err)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.exitRequested.Store(true)
	// An error means that the process has already exited.
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate sends SIGTERM and waits until the process has exited. It returns an
// error if the exit status is not 0 or exitTimeout passes.
func (p *process) terminate() error {
	p.exitRequested.Store(true)
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return errors.Wrap(p.err, "exited with an error after SIGTERM")
	case <-time.After(exitTimeout):
		return errors.Newf("still running %v after SIGTERM", exitTimeout)
	}
}

// processSpawner starts processes from one operating system thread that never
// exits. The kernel sends Pdeathsig when the thread that started a process exits,
// not only when its whole process does; a Go thread may exit at any time.
type processSpawner struct {
	once     sync.Once
	requests chan spawnRequest
}

// spawnRequest is a request to start a command; reply gets the result.
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
