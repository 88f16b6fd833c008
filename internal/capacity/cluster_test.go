package capacity

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/host"
	"github.com/poplarcroft/poplarcroft/internal/load"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/standin"
	"github.com/poplarcroft/poplarcroft/internal/view"
)

const (
	loopback = "127.0.0.1:0"
	// slicesPerServer is the number of slices of the keyed service for each of its servers.
	slicesPerServer = 4
	// assignTimeout is the time within which every slice must get an owner.
	assignTimeout = 30 * time.Second
	// settleTime is the time after the start of a cluster in which connections, heap sizes and load become steady.
	settleTime = 4 * time.Second
)

// clusterConfig describes a system on loopback.
type clusterConfig struct {
	hosts   int
	keyed   int // backend servers of the keyed service
	keyless int // backend servers of the service without keys
	// direct lets hosts connect without the proxy that counts bytes. The traffic figures are then zero.
	direct bool
}

// cluster is a system on loopback. Its hosts are processes of their own; the log, the host list, the proxy and the backend
// servers are stand-ins in the test process.
type cluster struct {
	config clusterConfig
	log    *standin.Log
	list   *standin.HostList
	// egress is the proxy that counts the bytes to each address.
	egress     *standin.Egress
	client     *logservice.Client
	logURL     string
	listURL    string
	egressAddr string
	// keyed and keyless are the addresses of the backend servers of the two services.
	keyed   []string
	keyless []string
	hosts   []*hostProcess
}

// startCluster starts a system and waits until every slice has an owner.
func startCluster(t *testing.T, binary string, config clusterConfig) *cluster {
	t.Helper()
	c := &cluster{
		config: config,
		log:    standin.NewLog(standin.LogConfig{Listen: loopback}),
		list:   standin.NewHostList(standin.HostListConfig{Listen: loopback}),
		egress: standin.NewEgress(standin.EgressConfig{Listen: loopback}),
	}
	c.logURL = "http://" + startStandin(t, c.log)
	c.listURL = "http://" + startStandin(t, c.list)
	c.egressAddr = startStandin(t, c.egress)
	c.client = logservice.NewClient(c.logURL, c.listURL, host.NewPlatformClient(""))
	c.keyed = startServers(t, config.keyed, true)
	c.keyless = startServers(t, config.keyless, false)
	c.publish(t)
	for i := range config.hosts {
		c.hosts = append(c.hosts, startHost(t, binary, c.hostArgs(i)...))
	}
	c.awaitOwners(t)
	time.Sleep(settleTime)
	return c
}

// startable is a stand-in that listens on an address, which Start returns.
type startable interface {
	Start() (string, error)
	Close() error
}

// startStandin starts a stand-in until the end of the test and returns its address.
func startStandin(t *testing.T, s startable) string {
	t.Helper()
	addr, err := s.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { s.Close() })
	return addr
}

// startServers starts backend servers and returns their addresses.
func startServers(t *testing.T, count int, keyed bool) []string {
	t.Helper()
	var addrs []string
	for range count {
		addrs = append(addrs, startStandin(t, standin.NewServer(standin.ServerConfig{
			Listen:      loopback,
			Slots:       settings.Defaults().Slots,
			Queue:       settings.Defaults().Slots,
			CheckEpochs: keyed,
		})))
	}
	return addrs
}

// hostArgs returns the command line arguments of a host.
func (c *cluster) hostArgs(number int) []string {
	args := []string{
		"-name", fmt.Sprintf("h%d", number+1), "-zone", "z1",
		"-caller", loopback, "-peer", loopback, "-admin", loopback,
		"-log", c.logURL, "-hosts", c.listURL,
		"-leave-time", "10ms", "-drain-time", "1s",
	}
	if !c.config.direct {
		args = append(args, "-egress", c.egressAddr)
	}
	return args
}

// publish appends the settings of the keyed service revize and the keyless service archiv to the log.
func (c *cluster) publish(t *testing.T) {
	t.Helper()
	text := fmt.Sprintf("[service.revize]\nkeyed = true\nslices = %d\ncold_start_time = \"0s\"\n", max(1, slicesPerServer*c.config.keyed))
	text += zoneText("revize", c.keyed) + "[service.archiv]\ncold_start_time = \"0s\"\n" + zoneText("archiv", c.keyless)
	tree, err := settings.Parse([]byte(text))
	assert.NilError(t, err)
	change := settings.NewState().Change(tree, "")
	c.append(t, record.Record{ID: record.NewID(), Kind: record.KindSettings, Settings: &change})
}

// zoneText returns the settings table, in TOML, of the zone z1 of a service.
func zoneText(service string, servers []string) string {
	text := fmt.Sprintf("[service.%s.place.p.zone.z1]\n", service)
	if len(servers) == 0 {
		return text
	}
	return text + "servers = [\"" + strings.Join(servers, "\", \"") + "\"]\n"
}

// append appends a record to the log and returns its offset.
func (c *cluster) append(t *testing.T, r record.Record) logservice.Offset {
	t.Helper()
	data, err := record.Encode(r)
	assert.NilError(t, err)
	offset, err := c.client.Append(t.Context(), data)
	assert.NilError(t, err)
	return offset
}

// awaitOwners follows the log until every slice has an owner.
func (c *cluster) awaitOwners(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), assignTimeout)
	defer cancel()
	v := view.New()
	for !c.allOwned(v) {
		err := view.CatchUp(ctx, v, c.client, func(record.Record, view.Decision) {})
		assert.NilError(t, err, "wait until every slice has an owner")
		time.Sleep(50 * time.Millisecond)
	}
}

// allOwned reports whether every keyed server has a session and every slice an owner.
func (c *cluster) allOwned(v *view.View) bool {
	owned := 0
	sessions := 0
	v.Read(func(_ *settings.State, table *ownership.Table) {
		sessions = len(table.OpenSessions())
		for _, session := range table.OpenSessions() {
			owned += len(table.OwnedSlices(session.ID))
		}
	})
	return sessions == c.config.keyed && owned == slicesPerServer*c.config.keyed
}

// pids returns the process IDs of the hosts.
func (c *cluster) pids() []int {
	var pids []int
	for _, h := range c.hosts {
		pids = append(pids, h.cmd.Process.Pid)
	}
	return pids
}

// cost is the mean cost of a host. Traffic is in kilobytes (1000 bytes) per second, both directions together.
type cost struct {
	CPUPermille float64 // thousandths of a core
	PeerKB      float64 // traffic with other hosts
	ServerKB    float64 // traffic with backend servers
	LogKB       float64 // traffic with the log
	ListKB      float64 // traffic with the host list
	ResidentMB  float64 // resident memory in megabytes (1000000 bytes)
}

// measure returns the mean cost of a host during the window.
func (c *cluster) measure(t *testing.T, window time.Duration) cost {
	t.Helper()
	before, err := load.CPUTime(c.pids())
	assert.NilError(t, err)
	traffic := c.egress.Traffic()
	start := time.Now()
	time.Sleep(window)
	seconds := time.Since(start).Seconds()
	after, err := load.CPUTime(c.pids())
	assert.NilError(t, err)
	result := c.traffic(traffic, c.egress.Traffic(), seconds)
	hosts := float64(len(c.hosts))
	result.CPUPermille = (after - before).Seconds() / seconds / hosts * 1000
	for _, pid := range c.pids() {
		result.ResidentMB += residentBytes(t, pid) / hosts / 1e6
	}
	return result
}

// traffic returns the mean traffic of a host by destination, from the bytes by address at the start and end of a
// measurement. The proxy counts bytes between two hosts once, at the address of the one that was connected to, but they are
// a cost of both.
func (c *cluster) traffic(before, after map[string]uint64, seconds float64) cost {
	var result cost
	peers := make(map[string]bool)
	for _, h := range c.hosts {
		peers[h.peer] = true
	}
	for addr, total := range after {
		kilobytes := float64(total-before[addr]) / 1e3 / seconds / float64(len(c.hosts))
		switch {
		case peers[addr]:
			result.PeerKB += 2 * kilobytes
		case "http://"+addr == c.logURL:
			result.LogKB += kilobytes
		case "http://"+addr == c.listURL:
			result.ListKB += kilobytes
		default:
			result.ServerKB += kilobytes
		}
	}
	return result
}
