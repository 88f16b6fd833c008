package hostcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/host"
)

// eventsMode is the permission mode of a new events file.
const eventsMode = 0o644

func serveCommand() cli.Command {
	return cli.Command{
		Name:    "serve",
		Summary: "run one host of the router",
		Run:     serve,
	}
}

// serve runs one host until an interrupt or a termination signal.
func serve(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	config, eventsFile, err := parseServe(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return cli.ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "poplarcroft serve:", err)
		return cli.ExitUsage
	}
	if eventsFile != "" {
		file, err := os.OpenFile(eventsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventsMode)
		if err != nil {
			fmt.Fprintln(stderr, "poplarcroft serve:", err)
			return cli.ExitFailure
		}
		defer file.Close()
		config.Events = file
	}
	h, err := host.New(config, log.New(stderr))
	if err != nil {
		fmt.Fprintln(stderr, "poplarcroft serve:", err)
		return cli.ExitFailure
	}
	fmt.Fprintf(stdout, "ready caller=%s peer=%s admin=%s\n", h.CallerAddr(), h.PeerAddr(), h.AdminAddr())
	if err := h.Run(ctx); err != nil {
		fmt.Fprintln(stderr, "poplarcroft serve:", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// parseServe returns the configuration of the command line, and the path of the events file.
func parseServe(args []string, stderr io.Writer) (config host.Config, eventsFile string, err error) {
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&config.Name, "name", "", "the host's `name`, unique in the system (required)")
	flags.StringVar(&config.Zone, "zone", "", "the host's availability `zone` (required)")
	flags.StringVar(&config.CallerAddr, "caller", "127.0.0.1:8080", "`address` that callers use")
	flags.StringVar(&config.PeerAddr, "peer", "127.0.0.1:8082", "`address` that other hosts use")
	flags.StringVar(&config.AdminAddr, "admin", "127.0.0.1:8081", "`address` that operators use")
	flags.StringVar(&config.LogURL, "log", "", "base `URL` of the platform's log (required)")
	flags.StringVar(&config.HostsURL, "hosts", "", "base `URL` of the platform's host list (required)")
	flags.StringVar(&config.EgressAddr, "egress", "", "`address` of an HTTP CONNECT proxy for all outgoing connections")
	operators := addOperatorFlags(flags)
	flags.Func("peers", "peer `addresses` of other hosts, separated by commas, for a start during an outage of the platform", func(list string) error {
		config.Peers = strings.Split(list, ",")
		return nil
	})
	flags.DurationVar(&config.LeaveTime, "leave-time", host.DefaultLeaveTime, "how long a stopping host still accepts requests, so that others notice that it leaves")
	flags.DurationVar(&config.DrainTime, "drain-time", host.DefaultDrainTime, "how long a stopping host then waits for requests in flight")
	flags.StringVar(&eventsFile, "events", "", "`file` to which events are appended as JSON lines")
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: poplarcroft serve -name NAME -zone ZONE -log URL -hosts URL [flags]")
		fmt.Fprintln(stderr, "\nexample: poplarcroft serve -name h1 -zone brno-jih -log http://10.0.0.9:7000 -hosts http://10.0.0.9:7001")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return config, "", err
	}
	if err := checkServe(config, flags.Args()); err != nil {
		return config, "", err
	}
	return config, eventsFile, operators.apply(&config)
}

// checkServe checks the command line and reports all its faults in one error.
func checkServe(config host.Config, rest []string) error {
	var faults []string
	if len(rest) > 0 {
		faults = append(faults, "unexpected argument "+rest[0])
	}
	for name, value := range map[string]string{
		"name": config.Name, "zone": config.Zone, "log": config.LogURL, "hosts": config.HostsURL,
	} {
		if value == "" {
			faults = append(faults, "-"+name+" is required")
		}
	}
	for name, addr := range map[string]string{
		"caller": config.CallerAddr, "peer": config.PeerAddr, "admin": config.AdminAddr,
	} {
		ip, _, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(ip) == nil || net.ParseIP(ip).IsUnspecified() {
			faults = append(faults, "-"+name+" must be an IP address and port, not "+addr)
		}
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}
