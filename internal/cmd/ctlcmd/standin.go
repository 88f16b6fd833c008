package ctlcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// PoisonExitCode is the exit code of a stand-in server that a poison request has crashed.
const PoisonExitCode = 70

// listener is a stand-in that listens from Start to Close. Start returns its address.
type listener interface {
	Start() (string, error)
	Close() error
}

// standinCommand returns the command that runs one stand-in as a process.
func standinCommand() cli.Command {
	return cli.Group("poplarctl", "standin", "run a stand-in of the platform, a backend server or the network", standinCommands())
}

func standinCommands() []cli.Command {
	return []cli.Command{
		{Name: "log", Summary: "the platform's log", Run: runStandinLog},
		{Name: "hosts", Summary: "the platform's host list", Run: runStandinHosts},
		{Name: "server", Summary: "a backend server", Run: runStandinServer},
		{Name: "egress", Summary: "a proxy for a host's outgoing connections", Run: runStandinEgress},
	}
}

// standinFlags returns a flag set with the flag that all stand-ins share.
func standinFlags(name string, stderr io.Writer) (*flag.FlagSet, *string) {
	flags := flag.NewFlagSet("poplarctl standin "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags, flags.String("listen", "127.0.0.1:0", "address to listen on")
}

func runStandinLog(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags, listen := standinFlags("log", stderr)
	retain := flags.Int("retain", 0, "number of latest records that are kept; 0 keeps all")
	appends := flags.Float64("appends-per-second", 0, "rate above which appends are rejected; 0 sets no limit")
	if err := flags.Parse(args); err != nil {
		return cli.ExitUsage
	}
	faults := standin.LogFaults{Retain: *retain, AppendsPerSecond: *appends}
	return runStandin(ctx, standin.NewLog(standin.LogConfig{Listen: *listen, Faults: faults}), stdout, stderr)
}

func runStandinHosts(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags, listen := standinFlags("hosts", stderr)
	lag := flags.Duration("lag", 0, "time until a change becomes visible in the list")
	if err := flags.Parse(args); err != nil {
		return cli.ExitUsage
	}
	faults := standin.HostListFaults{LagMS: int(lag.Milliseconds())}
	return runStandin(ctx, standin.NewHostList(standin.HostListConfig{Listen: *listen, Faults: faults}), stdout, stderr)
}

func runStandinServer(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags, listen := standinFlags("server", stderr)
	cfg := standin.ServerConfig{}
	flags.StringVar(&cfg.Service, "service", "", "name of the service in the records")
	flags.IntVar(&cfg.Slots, "slots", 4, "number of requests that are executed at the same time")
	flags.IntVar(&cfg.Queue, "queue", 4, "number of requests that may wait for a slot; further ones are rejected")
	flags.BoolVar(&cfg.CheckEpochs, "check-epochs", true, "reject keyed requests that the lease does not cover")
	flags.DurationVar(&cfg.Work, "work", 5*time.Millisecond, "execution time of a request on a warm server")
	flags.DurationVar(&cfg.ColdTime, "cold-time", 0, "time from the start until the server is warm")
	flags.Float64Var(&cfg.ColdFactor, "cold-factor", 1, "factor on -work at the start, falling to 1 over -cold-time")
	flags.StringVar(&cfg.RecordFile, "record", "", "file to which executions are appended as JSON lines")
	poison := flags.Bool("poison", false, "crash on a request whose key contains poison or that has a Poison header")
	drainTime := flags.Duration("drain-time", 0, "time from a termination signal to the end, during which load reports say draining")
	if err := flags.Parse(args); err != nil {
		return cli.ExitUsage
	}
	cfg.Listen = *listen
	if *poison {
		cfg.Poison = func() { os.Exit(PoisonExitCode) }
	}
	server := standin.NewServer(cfg)
	return runStandin(ctx, drainingServer{server, *drainTime}, stdout, stderr)
}

// drainingServer is a stand-in server that reports draining for drainTime before it closes.
type drainingServer struct {
	*standin.Server
	drainTime time.Duration
}

// Close drains and closes the server.
func (s drainingServer) Close() error {
	s.SetDraining(true)
	time.Sleep(s.drainTime)
	return s.Server.Close()
}

func runStandinEgress(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags, listen := standinFlags("egress", stderr)
	if err := flags.Parse(args); err != nil {
		return cli.ExitUsage
	}
	return runStandin(ctx, standin.NewEgress(standin.EgressConfig{Listen: *listen}), stdout, stderr)
}

// runStandin runs the stand-in until the context ends. It prints "ready" and the address.
func runStandin(ctx context.Context, s listener, stdout, stderr io.Writer) int {
	addr, err := s.Start()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	fmt.Fprintf(stdout, "ready %s\n", addr)
	<-ctx.Done()
	if err := s.Close(); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}
