package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// startAll starts the platform and the servers, publishes the settings, which
// contain the servers' addresses, and then starts the hosts.
func (r *run) startAll() error {
	if r.log != nil {
		return errors.New("the deployment is already started")
	}
	if err := r.startPlatform(); err != nil {
		return err
	}
	if err := forEachParallel(r.servers, r.startServer); err != nil {
		return err
	}
	if len(r.services) > 0 {
		if err := r.publish(); err != nil {
			return err
		}
	}
	return forEachParallel(r.hosts(), r.startHost)
}

// restartNamed restarts a host or server that has exited.
func (r *run) restartNamed(name string) error {
	if h := r.findHost(name); h != nil {
		if h.process != nil && !h.process.ended() {
			return errors.Newf("%s is running", name)
		}
		return r.startHost(h)
	}
	if s := r.findServer(name); s != nil {
		if s.process != nil && !s.process.ended() {
			return errors.Newf("%s is running", name)
		}
		return r.startServer(s)
	}
	return errors.Newf("no host or server %q", name)
}

// forEachParallel runs f for all items in parallel, waits for all and returns the first
// error.
func forEachParallel[T any](items []T, f func(T) error) error {
	results := make(chan error, len(items))
	for _, item := range items {
		go func() { results <- f(item) }()
	}
	var first error
	for range items {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (r *run) startPlatform() error {
	log, err := startProcess(r.dir, logName, ctlBinary, "standin", "log", "-listen", loopback)
	if err != nil {
		return err
	}
	hostList, err := startProcess(r.dir, hostListName, ctlBinary, "standin", "hosts", "-listen", loopback)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log, r.hostList = log, hostList
	return err
}

func (r *run) startServer(s *server) error {
	// Create the record file, so that it can be read even if the server executes
	// nothing.
	record, err := os.OpenFile(r.recordFile(s), os.O_APPEND|os.O_CREATE, outputMode)
	if err != nil {
		return errors.Wrap(err, "create record file")
	}
	record.Close()
	p, err := startProcess(r.dir, s.name, ctlBinary, "standin", "server",
		"-listen", s.addr,
		"-service", s.service.name,
		"-slots", strconv.Itoa(s.service.slots),
		"-queue", strconv.Itoa(s.service.queue),
		"-check-epochs="+strconv.FormatBool(!s.service.unchecked),
		"-work", s.service.work.String(),
		"-cold-time", s.service.coldTime.String(),
		"-cold-factor", strconv.FormatFloat(s.service.coldFactor, 'g', -1, 64),
		"-poison="+strconv.FormatBool(s.service.poison),
		"-record", r.recordFile(s))
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.process, s.addr = p, p.readyText
	return nil
}

func (r *run) startHost(h *host) error {
	if h.egress == nil {
		h.egress = standin.NewEgress(standin.EgressConfig{Listen: loopback})
		proxy, err := h.egress.Start()
		if err != nil {
			return err
		}
		h.proxy = proxy
	}
	p, err := startProcess(r.dir, h.name, hostBinary, "serve",
		"-name", h.name,
		"-zone", h.zone,
		"-caller", loopback,
		"-peer", loopback,
		"-admin", loopback,
		"-log", "http://"+r.log.readyText,
		"-hosts", "http://"+r.hostList.readyText,
		"-egress", h.proxy,
		"-events", filepath.Join(r.dir, h.name+".events"))
	if err != nil {
		return err
	}
	addrs, err := parseHostAddrs(p.readyText)
	if err != nil {
		p.kill()
		return err
	}
	r.mu.Lock()
	h.process, h.addrs, h.frozen = p, addrs, false
	r.mu.Unlock()
	r.applyNetwork()
	return nil
}

// parseHostAddrs parses the ready text of a host, "caller=ADDR peer=ADDR admin=ADDR".
// The admin address is optional.
func parseHostAddrs(text string) (hostAddrs, error) {
	var addrs hostAddrs
	for _, field := range strings.Fields(text) {
		name, addr, _ := strings.Cut(field, "=")
		switch name {
		case "caller":
			addrs.caller = addr
		case "peer":
			addrs.peer = addr
		case "admin":
			addrs.admin = addr
		}
	}
	if addrs.caller == "" || addrs.peer == "" {
		return addrs, errors.Newf("caller or peer address missing in the host's ready line %q", text)
	}
	return addrs, nil
}

// publish publishes the deployment's settings to the log with poplarctl.
func (r *run) publish() error {
	name := filepath.Join(r.dir, "settings.toml")
	if err := os.WriteFile(name, []byte(r.settingsFile()), outputMode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	output, err := exec.Command(ctlBinary, "settings", "publish", "-log", "http://"+r.log.readyText, name).CombinedOutput()
	return errors.Wrapf(err, "publish settings: %s", output)
}
