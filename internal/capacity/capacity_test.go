package capacity

import (
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/load"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/outcome"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

const (
	// window is the duration of one measurement.
	window = 10 * time.Second
	// requestTime is the duration of one run of requests.
	requestTime = 6 * time.Second
)

var seriesFlag = flag.String("capacity", "", "series to measure, separated by commas: hosts, servers, changes, requests, connections")

// TestCapacity measures the series that the flag names and prints one line for
// each point. It compares no figure with a limit.
func TestCapacity(t *testing.T) {
	if *seriesFlag == "" {
		t.Skip("runs only with the flag -capacity")
	}
	series := map[string]func(*testing.T, string){
		"hosts":       measureHosts,
		"servers":     measureServers,
		"changes":     measureChanges,
		"requests":    measureRequests,
		"connections": measureConnections,
	}
	binary := buildHost(t)
	for _, name := range strings.Split(*seriesFlag, ",") {
		run := series[name]
		assert.Assert(t, run != nil, "no series %q", name)
		t.Run(name, func(t *testing.T) { run(t, binary) })
	}
}

// report prints one point of a series: the cost of a host at the value x of the varied quantity.
func report(series string, x float64, c cost) {
	fmt.Fprintf(os.Stdout, "%-8s %6.0f  cpu %6.2f permille  KB/s: peers %7.2f servers %7.2f log %6.2f list %6.2f  resident %6.1f MB\n",
		series, x, c.CPUPermille, c.PeerKB, c.ServerKB, c.LogKB, c.ListKB, c.ResidentMB)
}

// measureHosts prints the cost of a host with a growing number of hosts.
func measureHosts(t *testing.T, binary string) {
	for _, hosts := range []int{3, 6, 12, 24} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := startCluster(t, binary, clusterConfig{hosts: hosts})
			report("hosts", float64(hosts), c.measure(t, window))
		})
	}
}

// measureServers prints the cost of a host with a growing number of keyed backend servers.
func measureServers(t *testing.T, binary string) {
	for _, servers := range []int{4, 8, 16, 32} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := startCluster(t, binary, clusterConfig{hosts: 3, keyed: servers})
			report("servers", float64(servers), c.measure(t, window))
		})
	}
}

// measureChanges prints the cost of a host with a growing rate of settings changes, in changes per second.
func measureChanges(t *testing.T, binary string) {
	c := startCluster(t, binary, clusterConfig{hosts: 3})
	base := c.append(t, change(0))
	for _, rate := range []int{0, 5, 20, 50} {
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			base = c.changeSettings(t, base, rate, stop)
		}()
		report("changes", float64(rate), c.measure(t, window))
		close(stop)
		<-done
	}
}

// change returns a settings record that sets the slots of the keyless service. base is the offset of the settings that it
// changes.
func change(base logservice.Offset) record.Record {
	node := record.SettingsNode{Path: "archiv", Base: base, TOML: "cold_start_time = \"0s\"\nslots = 5\n"}
	return record.Record{
		ID:       record.NewID(),
		Kind:     record.KindSettings,
		Settings: &record.Settings{Nodes: []record.SettingsNode{node}},
	}
}

// changeSettings appends changes at a rate per second until stop is closed. It returns the offset of the last one.
func (c *cluster) changeSettings(t *testing.T, base logservice.Offset, rate int, stop <-chan struct{}) logservice.Offset {
	if rate == 0 {
		return base
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return base
		case <-ticker.C:
			base = c.append(t, change(base))
		}
	}
}

// measureRequests prints the CPU time of all hosts for each request, without the
// CPU time that idle hosts use. The requests go to the hosts round-robin, so most
// keyed ones are forwarded once.
func measureRequests(t *testing.T, binary string) {
	for _, service := range []string{"revize", "archiv"} {
		c := startCluster(t, binary, clusterConfig{hosts: 3, keyed: 6, keyless: 6, direct: true})
		idle := c.measure(t, requestTime)
		for _, rate := range []float64{250, 500, 1000} {
			summary := c.sendLoad(t, service, rate)
			idleSeconds := idle.CPUPermille / 1000 * summary.Seconds * float64(len(c.hosts))
			done := float64(summary.Outcomes[outcome.Done])
			fmt.Fprintf(os.Stdout, "requests %s rate %5.0f  done %.0f of %d  %4.0f us of a core each  p50 %.2f ms  p99 %.2f ms  not done %v\n",
				service, rate, done, summary.Requests, (summary.CPUSeconds-idleSeconds)/done*1e6, summary.Done.P50MS, summary.Done.P99MS, summary.Reasons)
		}
	}
}

// sendLoad sends GET requests to all hosts at a rate per second.
func (c *cluster) sendLoad(t *testing.T, service string, rate float64) load.Summary {
	t.Helper()
	config := load.DefaultConfig()
	config.Service = service
	config.Rate = rate
	config.Duration = requestTime
	config.WriteShare = 0
	for _, h := range c.hosts {
		config.Targets = append(config.Targets, h.caller)
	}
	summary, err := load.RunWithCPUTime(t.Context(), config, c.pids(), nil)
	assert.NilError(t, err)
	return summary
}

// measureConnections prints the resident memory of a host with a growing number of open, idle connections of callers.
func measureConnections(t *testing.T, binary string) {
	c := startCluster(t, binary, clusterConfig{hosts: 1, keyless: 1, direct: true})
	pid := c.pids()[0]
	open := 0
	for _, target := range []int{0, 1000, 2000, 4000} {
		for ; open < target; open++ {
			openConnection(t, c.hosts[0].caller)
		}
		time.Sleep(time.Second)
		fmt.Fprintf(os.Stdout, "connections %5d  resident %6.1f MB\n", open, residentBytes(t, pid)/1e6)
	}
}

// openConnection opens a connection, sends a request, waits for the answer and leaves the connection open until the test ends.
func openConnection(t *testing.T, addr string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "GET /v1/archiv/k HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 4096))
	assert.NilError(t, err)
}
