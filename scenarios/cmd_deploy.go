package scenarios

import (
	"flag"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// Limits of a deployment's size; maxPerZone is for hosts and for servers of each
// service.
const (
	maxServices = 4
	maxZones    = 6
	maxPerZone  = 8
)

// parseFlags parses args and checks that the number of arguments after the flags is
// between least and most.
func parseFlags(flags *flag.FlagSet, args []string, least, most int) error {
	flags.SetOutput(io.Discard)
	if err := flags.Parse(args); err != nil {
		return err
	}
	if n := flags.NArg(); n < least || n > most {
		return errors.Newf("%d arguments, want %d to %d", n, least, most)
	}
	return nil
}

// stringList is the value of a flag that may be given more than once.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return "" }

// Set implements flag.Value.
func (l *stringList) Set(text string) error {
	*l = append(*l, text)
	return nil
}

// cmdService adds a service to the deployment: service [flags] NAME.
func cmdService(_ *testscript.TestScript, r *run, args []string) error {
	s := &service{}
	flags := flag.NewFlagSet("service", flag.ContinueOnError)
	flags.BoolVar(&s.keyed, "keyed", false, "")
	flags.BoolVar(&s.unchecked, "unchecked", false, "")
	flags.IntVar(&s.slices, "slices", 16, "")
	flags.IntVar(&s.slots, "slots", 4, "")
	flags.IntVar(&s.queue, "queue", 4, "")
	flags.DurationVar(&s.work, "work", 2*time.Millisecond, "")
	flags.DurationVar(&s.coldTime, "cold-time", 0, "")
	flags.Float64Var(&s.coldFactor, "cold-factor", 1, "")
	flags.BoolVar(&s.poison, "poison", false, "")
	flags.Var((*stringList)(&s.settings), "set", "")
	if err := parseFlags(flags, args, 1, 1); err != nil {
		return err
	}
	if len(r.services) == maxServices || len(r.zones) > 0 {
		return errors.Newf("at most %d services, declared before the zones", maxServices)
	}
	s.name = flags.Arg(0)
	r.services = append(r.services, s)
	return nil
}

// cmdZone adds a zone with hosts, and with servers of every service:
// zone [flags] NAME.
func cmdZone(_ *testscript.TestScript, r *run, args []string) error {
	flags := flag.NewFlagSet("zone", flag.ContinueOnError)
	hosts := flags.Int("hosts", 1, "")
	servers := flags.Int("servers", 1, "")
	if err := parseFlags(flags, args, 1, 1); err != nil {
		return err
	}
	if len(r.zones) == maxZones || *hosts > maxPerZone || *servers > maxPerZone {
		return errors.Newf("at most %d zones with %d hosts and %d servers of each service", maxZones, maxPerZone, maxPerZone)
	}
	r.addZone(flags.Arg(0), *hosts, *servers)
	return nil
}

// cmdStart starts the deployment, or restarts hosts and servers that have exited:
// start [NAME...]. The start of the deployment sets the variables LOG and HOSTLIST.
func cmdStart(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) > 0 {
		return forEachParallel(args, r.restartNamed)
	}
	if err := r.startAll(); err != nil {
		return err
	}
	ts.Setenv("LOG", "http://"+r.log.readyText)
	ts.Setenv("HOSTLIST", "http://"+r.hostList.readyText)
	return nil
}

// forEachProcess calls f for each running process of the named hosts, servers and
// zones. A name without a running process is an error.
func (r *run) forEachProcess(names []string, f func(name string, p *process) error) error {
	if len(names) == 0 {
		return errors.New("want at least one host, server or zone")
	}
	for _, name := range names {
		targets := r.running(name)
		if len(targets) == 0 {
			return errors.Newf("no zone, host or server %q is running", name)
		}
		for _, target := range targets {
			if err := f(target.name, target.process); err != nil {
				return errors.Wrap(err, target.name)
			}
		}
	}
	return nil
}

// cmdCrash kills processes (SIGKILL): crash NAME...
func cmdCrash(_ *testscript.TestScript, r *run, args []string) error {
	return r.forEachProcess(args, func(_ string, p *process) error {
		p.kill()
		return nil
	})
}

// cmdTerminate stops processes gracefully (SIGTERM) and waits until they have
// exited: terminate NAME...
func cmdTerminate(_ *testscript.TestScript, r *run, args []string) error {
	return r.forEachProcess(args, func(_ string, p *process) error { return p.terminate() })
}

// cmdFreeze suspends processes (SIGSTOP) until thaw: freeze NAME...
func cmdFreeze(_ *testscript.TestScript, r *run, args []string) error {
	return r.forEachProcess(args, func(name string, p *process) error {
		r.setFrozen(name, true)
		return p.signal(syscall.SIGSTOP)
	})
}

// cmdThaw resumes frozen processes (SIGCONT): thaw NAME...
func cmdThaw(_ *testscript.TestScript, r *run, args []string) error {
	return r.forEachProcess(args, func(name string, p *process) error {
		r.setFrozen(name, false)
		return p.signal(syscall.SIGCONT)
	})
}

// setFrozen records whether a host is frozen, so that callers don't use it. Names
// of servers are ignored.
func (r *run) setFrozen(name string, frozen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.findHost(name); h != nil {
		h.frozen = frozen
	}
}

// cmdCut partitions A from B, or from all nodes outside A:
// cut [-refuse] A [B]. Connections stall; with -refuse they are closed and refused.
func cmdCut(_ *testscript.TestScript, r *run, args []string) error {
	flags := flag.NewFlagSet("cut", flag.ContinueOnError)
	refuse := flags.Bool("refuse", false, "")
	if err := parseFlags(flags, args, 1, 2); err != nil {
		return err
	}
	c, err := r.parseCut(flags.Args())
	if err != nil {
		return err
	}
	c.refuse = *refuse
	r.network.add(c)
	r.applyNetwork()
	return nil
}

// cmdHeal removes all cuts, those of A, or those between A and B: heal [A [B]].
func cmdHeal(_ *testscript.TestScript, r *run, args []string) error {
	if len(args) == 0 {
		r.network.cuts = nil
		r.applyNetwork()
		return nil
	}
	c, err := r.parseCut(args)
	if err != nil {
		return err
	}
	r.network.remove(c.a, c.b)
	r.applyNetwork()
	return nil
}

// cmdSilence makes the open connections between A and B, or all nodes outside A,
// pass no more data, for good; new connections work: silence A [B].
func cmdSilence(_ *testscript.TestScript, r *run, args []string) error {
	c, err := r.parseCut(args)
	if err != nil {
		return err
	}
	r.silence(c.a, c.b)
	return nil
}

// parseCut returns the cut between the one or two named sides. Without a second name
// the other side is all nodes outside the first.
func (r *run) parseCut(args []string) (cut, error) {
	if len(args) < 1 || len(args) > 2 {
		return cut{}, errors.New("want one or two names")
	}
	for _, name := range args {
		if err := r.checkNodeName(name); err != nil {
			return cut{}, err
		}
	}
	if len(args) == 1 {
		return cut{a: args[0], b: everythingElse}, nil
	}
	return cut{a: args[0], b: args[1]}, nil
}

// cmdFault replaces a server's faults: fault [flags] SERVER. Faults without a flag
// are cleared.
func cmdFault(_ *testscript.TestScript, r *run, args []string) error {
	var faults standin.ServerFaults
	flags := flag.NewFlagSet("fault", flag.ContinueOnError)
	flags.Float64Var(&faults.SlowFactor, "slow", 0, "")
	flags.IntVar(&faults.DropEvery, "drop-every", 0, "")
	flags.IntVar(&faults.HalfEvery, "half-every", 0, "")
	flags.IntVar(&faults.LoseGrantsEvery, "lose-grants-every", 0, "")
	lag := flags.Duration("report-lag", 0, "")
	load := flags.Float64("report-load", -1, "")
	if err := parseFlags(flags, args, 1, 1); err != nil {
		return err
	}
	faults.ReportLagMS = int(lag.Milliseconds())
	if *load >= 0 {
		faults.ReportLoad = load
	}
	s := r.findServer(flags.Arg(0))
	if s == nil {
		return errors.Newf("no server %q", flags.Arg(0))
	}
	return setFaults(s.addr, faults)
}
