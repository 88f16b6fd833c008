package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/check"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

const (
	// loopback is a listen address for which the system chooses the port.
	loopback = "127.0.0.1:0"
	// place is the name of the only place in the settings; all zones belong to it.
	place = "site"
	// Names of the platform's processes in scripts.
	logName      = "log"
	hostListName = "hostlist"
	// platformName stands for both processes of the platform, as a zone's name does
	// for the zone's.
	platformName = "platform"
)

// service is a service of the deployment. The flags of the service command set its fields.
type service struct {
	name       string
	keyed      bool
	unchecked  bool
	slices     int
	slots      int
	queue      int
	work       time.Duration
	coldTime   time.Duration
	coldFactor float64
	poison     bool
	// settings are additional TOML lines for the service in the settings.
	settings []string
}

// zone is an availability zone of the deployment.
type zone struct {
	name  string
	hosts []*host
}

// host is a host of the deployment. Its egress proxy runs in the test process and
// is kept when the host restarts.
type host struct {
	name    string
	zone    string
	egress  *standin.Egress
	proxy   string
	process *process
	addrs   hostAddrs
	// frozen says that the process is suspended by SIGSTOP.
	frozen bool
}

// hostAddrs are the addresses on which a host listens.
type hostAddrs struct {
	caller string
	peer   string
	admin  string
}

// server is a backend server of the deployment. It keeps its address when it restarts.
type server struct {
	name    string
	zone    string
	service *service
	addr    string
	process *process
}

// named reports whether names contains the server or its zone.
func (s *server) named(names []string) bool {
	return slices.Contains(names, s.name) || slices.Contains(names, s.zone)
}

// run is one run of a script: its deployment and the calls made.
type run struct {
	dir      string
	services []*service
	zones    []*zone
	servers  []*server
	log      *process
	hostList *process
	network  network
	load     *load
	monitor  *starvationMonitor
	// loadCount is the number of loads started so far. It makes the IDs and the random
	// sequence of each load different.
	loadCount int

	mu    sync.Mutex
	calls []check.Call
}

func newRun(dir string) *run {
	r := &run{dir: dir}
	r.monitor = startStarvationMonitor(r)
	return r
}

// close kills every process, stops the load and writes the record of calls.
func (r *run) close() {
	r.monitor.close()
	for _, p := range r.processes() {
		p.process.kill()
	}
	if r.load != nil {
		r.load.stop()
	}
	for _, h := range r.hosts() {
		if h.egress != nil {
			_ = h.egress.Close()
		}
	}
	r.writeCalls()
}

// writeCalls writes all calls to calls.record, one JSON line each, beside the
// record files of the servers.
func (r *run) writeCalls() {
	file, err := os.Create(filepath.Join(r.dir, "calls.record"))
	if err != nil {
		return
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, c := range r.allCalls() {
		// Errors are ignored: the file is only read to analyse a failure.
		_ = encoder.Encode(c)
	}
}

// namedProcess is a process of the deployment with its name and zone.
type namedProcess struct {
	name    string
	zone    string
	process *process
}

// processes returns the latest process of each node that has been started, even
// if it has exited.
func (r *run) processes() []namedProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []namedProcess{{logName, platformName, r.log}, {hostListName, platformName, r.hostList}}
	for _, h := range r.hosts() {
		all = append(all, namedProcess{h.name, h.zone, h.process})
	}
	for _, s := range r.servers {
		all = append(all, namedProcess{s.name, s.zone, s.process})
	}
	return slices.DeleteFunc(all, func(p namedProcess) bool { return p.process == nil })
}

// running returns the running hosts and servers with the name, or in the zone of
// that name.
func (r *run) running(name string) []namedProcess {
	return slices.DeleteFunc(r.processes(), func(p namedProcess) bool {
		return p.zone == platformName || p.process.ended() || name != p.name && name != p.zone
	})
}

// hosts returns the hosts of all zones.
func (r *run) hosts() []*host {
	var all []*host
	for _, z := range r.zones {
		all = append(all, z.hosts...)
	}
	return all
}

func (r *run) findService(name string) (*service, error) {
	for _, s := range r.services {
		if s.name == name {
			return s, nil
		}
	}
	return nil, errors.Newf("no service %q", name)
}

func (r *run) findHost(name string) *host {
	for _, h := range r.hosts() {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (r *run) findServer(name string) *server {
	for _, s := range r.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// addZone adds a zone with hosts, and with servers for every service declared so
// far.
func (r *run) addZone(name string, hosts, servers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	z := &zone{name: name}
	for i := range hosts {
		z.hosts = append(z.hosts, &host{name: fmt.Sprintf("%s-h%d", name, i+1), zone: name})
	}
	r.zones = append(r.zones, z)
	for _, s := range r.services {
		for i := range servers {
			r.servers = append(r.servers, &server{
				name:    fmt.Sprintf("%s-%s-%d", s.name, name, i+1),
				zone:    name,
				service: s,
				addr:    loopback,
			})
		}
	}
}

// settingsFile returns the deployment's settings in TOML.
func (r *run) settingsFile() string {
	var b strings.Builder
	for _, s := range r.services {
		fmt.Fprintf(&b, "[service.%s]\nkeyed = %t\nchecks_epochs = %t\nslots = %d\n", s.name, s.keyed, !s.unchecked, s.slots)
		if s.keyed {
			fmt.Fprintf(&b, "slices = %d\n", s.slices)
		}
		for _, line := range s.settings {
			fmt.Fprintln(&b, line)
		}
		fmt.Fprintf(&b, "[service.%s.place.%s]\n", s.name, place)
		for _, z := range r.zones {
			fmt.Fprintf(&b, "[service.%s.place.%s.zone.%s]\nservers = [%s]\n", s.name, place, z.name, r.quotedAddrs(s, z))
		}
	}
	return b.String()
}

// quotedAddrs returns the addresses of a service's servers in a zone as elements of a TOML array.
func (r *run) quotedAddrs(s *service, z *zone) string {
	var addrs []string
	for _, candidate := range r.servers {
		if candidate.service == s && candidate.zone == z.name {
			addrs = append(addrs, fmt.Sprintf("%q", candidate.addr))
		}
	}
	return strings.Join(addrs, ", ")
}

// recordFile returns the path of a server's record file.
func (r *run) recordFile(s *server) string {
	return filepath.Join(r.dir, s.name+".record")
}

// executions returns the executions that all servers have recorded.
func (r *run) executions() ([]check.Execution, error) {
	var all []check.Execution
	for _, s := range r.servers {
		list, err := check.ReadExecutions(r.recordFile(s))
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

// addCall records a call.
func (r *run) addCall(c check.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// allCalls returns the calls recorded so far.
func (r *run) allCalls() []check.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}
