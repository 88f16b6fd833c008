package hostcmd

import (
	"context"
	_ "embed"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/host"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

const (
	// devZone is the availability zone of all hosts and servers of the development system.
	devZone = "local"
	// devHosts is the number of hosts of the development system.
	devHosts = 3
	// devServers is the number of sample backend servers of each service.
	devServers = 3
	// devWork is the time that a sample backend server takes to execute a request.
	devWork = 2 * time.Millisecond
	// devReadyTime bounds the wait until every slice has an owner.
	devReadyTime = 15 * time.Second
	// devLeaveTime is how long the development hosts still accept requests when they stop.
	devLeaveTime = 200 * time.Millisecond
)

//go:embed dev.toml
var devSettings string

func devCommand() cli.Command {
	return cli.Command{
		Name:    "dev",
		Summary: "run a complete development system in one process on loopback",
		Run:     dev,
	}
}

// devSystem is a complete system in one process: stand-ins of the platform, sample
// backend servers and hosts.
type devSystem struct {
	log     *standin.Log
	list    *standin.HostList
	servers []*standin.Server
	hosts   []*host.Host
	logURL  string
	listURL string
}

// dev runs the development system until it is interrupted.
func dev(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	caller := flags.String("caller", "127.0.0.1:8080", "`address` that callers use")
	admin := flags.String("admin", "127.0.0.1:8081", "`address` that operators use")
	events := flags.String("events", "", "`file` to which events are appended as JSON lines")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return cli.ExitOK
		}
		return cli.ExitUsage
	}
	logger := log.New(stderr)
	var sink io.Writer
	if *events != "" {
		file, err := os.OpenFile(*events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventsMode)
		if err != nil {
			fmt.Fprintln(stderr, "poplarcroft dev:", err)
			return cli.ExitFailure
		}
		defer file.Close()
		sink = file
	}
	system, err := startDev(ctx, *caller, *admin, sink, logger)
	if err != nil {
		fmt.Fprintln(stderr, "poplarcroft dev:", err)
		return cli.ExitFailure
	}
	defer system.close()
	var running sync.WaitGroup
	for _, h := range system.hosts {
		running.Go(func() { h.Run(ctx) })
	}
	if system.waitReady(ctx) {
		printWelcome(stdout, *caller, *admin)
	}
	running.Wait()
	return cli.ExitOK
}

// printWelcome prints the addresses and two requests to try.
func printWelcome(w io.Writer, caller, admin string) {
	fmt.Fprintf(w, "ready: callers on http://%s, administration on http://%s\n", caller, admin)
	fmt.Fprintf(w, "try:   curl -i -X POST -H 'Idempotency-Key: first' -d 'passed' http://%s/v1/revize/hala-7\n", caller)
	fmt.Fprintf(w, "       curl -i http://%s/v1/revize/hala-7\n", caller)
}

// startDev starts the stand-ins, the sample servers and the hosts, in this order.
func startDev(ctx context.Context, caller, admin string, events io.Writer, logger *log.Logger) (*devSystem, error) {
	s := &devSystem{
		log:  standin.NewLog(standin.LogConfig{Listen: "127.0.0.1:0"}),
		list: standin.NewHostList(standin.HostListConfig{Listen: "127.0.0.1:0"}),
	}
	logAddr, err := s.log.Start()
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	listAddr, err := s.list.Start()
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	s.logURL = "http://" + logAddr
	s.listURL = "http://" + listAddr
	if err := s.startServers(ctx); err != nil {
		return nil, err
	}
	return s, s.startHosts(caller, admin, events, logger)
}

// startServers starts the sample backend servers and publishes the settings that name them.
func (s *devSystem) startServers(ctx context.Context) error {
	text := devSettings
	for _, service := range []string{"revize", "archiv"} {
		var addrs []string
		for range devServers {
			server := standin.NewServer(standin.ServerConfig{
				Listen:      "127.0.0.1:0",
				Service:     service,
				Slots:       settings.Defaults().Slots,
				Queue:       settings.Defaults().Slots,
				CheckEpochs: true,
				Work:        devWork,
			})
			addr, err := server.Start()
			if err != nil {
				return errors.Wrap(err, "sample backend server")
			}
			s.servers = append(s.servers, server)
			addrs = append(addrs, `"`+addr+`"`)
		}
		text = strings.ReplaceAll(text, `"`+service+` servers"`, strings.Join(addrs, ", "))
	}
	return s.publish(ctx, text)
}

// publish publishes the settings of the development system.
func (s *devSystem) publish(ctx context.Context, text string) error {
	tree, err := settings.Parse([]byte(text))
	if err != nil {
		return errors.Wrap(err, "sample settings")
	}
	client := logservice.NewClient(s.logURL, s.listURL, host.NewPlatformClient(""))
	publisher, err := publish.Open(ctx, client, "dev", time.Now)
	if err != nil {
		return err
	}
	change := settings.NewState().Change(tree, "sample settings")
	result, err := publisher.Publish(ctx, record.Record{ID: record.NewID(), Kind: record.KindSettings, Settings: &change})
	if err != nil {
		return err
	}
	if result.Status != publish.Accepted {
		return errors.Newf("sample settings: %s: %s", result.Status, result.Reason)
	}
	return nil
}

// startHosts creates the hosts. The first one gets the addresses for callers and operators.
func (s *devSystem) startHosts(caller, admin string, events io.Writer, logger *log.Logger) error {
	for i := range devHosts {
		config := host.Config{
			Name:       fmt.Sprintf("h%d", i+1),
			Zone:       devZone,
			CallerAddr: "127.0.0.1:0",
			PeerAddr:   "127.0.0.1:0",
			AdminAddr:  "127.0.0.1:0",
			LogURL:     s.logURL,
			HostsURL:   s.listURL,
			Events:     events,
			Operators:  devOperator,
			LeaveTime:  devLeaveTime,
			DrainTime:  host.DefaultDrainTime,
		}
		if i == 0 {
			config.CallerAddr = caller
			config.AdminAddr = admin
		}
		h, err := host.New(config, logger)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return nil
}

// waitReady waits until the first host reports that every slice has an owner and every
// session a primary. It returns false after devReadyTime or when the context ends.
func (s *devSystem) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, devReadyTime)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !s.hosts[0].Serving() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// close ends the sample servers and the stand-ins. The hosts have ended before.
func (s *devSystem) close() {
	for _, server := range s.servers {
		server.Close()
	}
	s.list.Close()
	s.log.Close()
}
