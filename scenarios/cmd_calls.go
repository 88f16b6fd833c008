package scenarios

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarcroft/poplarcroft/internal/check"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

const (
	// defaultCallTimeout limits a call of load, send, owner or keys.
	defaultCallTimeout = 5 * time.Second
	// probeTimeout limits a call that checks whether a key is served.
	probeTimeout = 500 * time.Millisecond
	// maxSleep is the longest duration that sleep accepts.
	maxSleep = 30 * time.Second
	// maxRate is the highest rate of a load, in calls per second.
	maxRate = 1000
	// maxViolations limits the violations that check prints.
	maxViolations = 10
	// maxArgs limits the arguments of a command that takes a list of names.
	maxArgs = 100
	// noLimit disables a limit of loadLimits.
	noLimit = -1
)

// cmdSend makes one call, records it and prints its result:
// send [flags] METHOD SERVICE/KEY.
func cmdSend(ts *testscript.TestScript, r *run, args []string) error {
	spec := callSpec{header: make(http.Header)}
	var via stringList
	flags := flag.NewFlagSet("send", flag.ContinueOnError)
	flags.Var(&via, "via", "")
	flags.StringVar(&spec.id, "id", "", "")
	flags.StringVar(&spec.body, "body", "", "")
	flags.DurationVar(&spec.timeout, "timeout", defaultCallTimeout, "")
	poison := flags.Bool("poison", false, "")
	if err := parseFlags(flags, args, 2, 2); err != nil {
		return err
	}
	if *poison {
		spec.header.Set(standin.HeaderPoison, "1")
	}
	spec.method = flags.Arg(0)
	name, key, ok := strings.Cut(flags.Arg(1), "/")
	if !ok {
		return errors.Newf("argument %q is not SERVICE/KEY", flags.Arg(1))
	}
	spec.service, spec.key = name, key
	result := r.callFirstReachable(spec, r.callableHosts(via))
	r.addCall(result.Call)
	printf(ts, "status=%d outcome=%s reason=%s server=%s retry-after=%s value=%q detail=%q error=%q\n",
		result.Status, result.Outcome, result.Reason, r.serverName(result.answer.Server),
		result.retryAfter, result.answer.Value, result.detail, result.Error)
	return nil
}

// serverName returns the name of the server at an address, or "" if there is none.
func (r *run) serverName(addr string) string {
	for _, s := range r.servers {
		if s.addr == addr {
			return s.name
		}
	}
	return ""
}

// probe reads a key through the first reachable host and returns the name of the
// server that answered. The call is not recorded.
func (r *run) probe(service, key string, hosts []*host, timeout time.Duration) (string, error) {
	spec := callSpec{service: service, key: key, method: http.MethodGet, timeout: timeout}
	result := r.callFirstReachable(spec, hosts)
	if !result.Acknowledged() || result.Fault != "" {
		return "", errors.Newf("%v", result.Call)
	}
	return r.serverName(result.answer.Server), nil
}

// cmdOwner sets a variable to the name of the server that owns a key:
// owner SERVICE/KEY VARIABLE.
func cmdOwner(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: owner SERVICE/KEY VARIABLE")
	}
	name, key, _ := strings.Cut(args[0], "/")
	owner, err := r.probe(name, key, r.callableHosts(nil), defaultCallTimeout)
	if err != nil {
		return err
	}
	ts.Setenv(args[1], owner)
	return nil
}

// cmdKeys sets a variable to the keys, separated by commas, that the named servers
// and zones own: keys [-keys N] SERVICE VARIABLE NAME...
func cmdKeys(ts *testscript.TestScript, r *run, args []string) error {
	var f keysFlags
	flags := flag.NewFlagSet("keys", flag.ContinueOnError)
	f.register(flags)
	if err := parseFlags(flags, args, 3, maxArgs); err != nil {
		return err
	}
	found, err := r.keysOf(flags.Arg(0), f, flags.Args()[2:])
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return errors.New("the servers own none of the keys")
	}
	ts.Setenv(flags.Arg(1), strings.Join(found, ","))
	return nil
}

// keysOf returns the keys that the named servers and zones serve.
func (r *run) keysOf(service string, f keysFlags, names []string) ([]string, error) {
	var found []string
	for _, key := range f.list() {
		owner, err := r.probe(service, key, r.callableHosts(f.via), defaultCallTimeout)
		if err != nil {
			return nil, err
		}
		if s := r.findServer(owner); s != nil && s.named(names) {
			found = append(found, key)
		}
	}
	return found, nil
}

// cmdAddr sets a variable to the address of a server, or to the admin address of a
// host: addr NAME VARIABLE.
func cmdAddr(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: addr NAME VARIABLE")
	}
	if s := r.findServer(args[0]); s != nil {
		ts.Setenv(args[1], s.addr)
		return nil
	}
	if h := r.findHost(args[0]); h != nil {
		ts.Setenv(args[1], h.addrs.admin)
		return nil
	}
	return errors.Newf("no host or server %q", args[0])
}

// cmdRenewer sets a variable to the name of the host that renews a server's lease:
// renewer SERVER VARIABLE. It is the host whose egress proxy opened the connection
// on which the server's last grant arrived.
func cmdRenewer(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: renewer SERVER VARIABLE")
	}
	s := r.findServer(args[0])
	if s == nil {
		return errors.Newf("no server %q", args[0])
	}
	grant, err := standin.LastGrant(controlClient, s.addr)
	if err != nil {
		return err
	}
	for _, h := range r.hosts() {
		if h.egress.OpenedFrom(grant.From) {
			ts.Setenv(args[1], h.name)
			return nil
		}
	}
	return errors.Newf("no host opened the connection from %q that carried the last grant", grant.From)
}

// cmdLoad starts, stops or checks a load: load start|stop|check [flags].
func cmdLoad(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) == 0 {
		return errors.New("usage: load start|stop|check")
	}
	switch args[0] {
	case "start":
		return r.loadStart(args[1:])
	case "stop":
		if r.load == nil {
			return errors.New("no load has been started")
		}
		r.load.stop()
		return nil
	case "check":
		return r.loadCheck(ts, args[1:])
	}
	return errors.Newf("unknown subcommand %q", args[0])
}

// loadStart starts a load, after it has stopped the one before:
// load start [flags] SERVICE.
func (r *run) loadStart(args []string) error {
	if r.load != nil {
		r.load.stop()
	}
	var cfg loadConfig
	var keys keysFlags
	flags := flag.NewFlagSet("load start", flag.ContinueOnError)
	flags.Float64Var(&cfg.rate, "rate", 100, "")
	keys.register(flags)
	flags.IntVar(&cfg.writes, "writes", 50, "")
	flags.Uint64Var(&cfg.seed, "seed", 1, "")
	flags.DurationVar(&cfg.timeout, "timeout", defaultCallTimeout, "")
	flags.BoolVar(&cfg.repeat, "repeat", false, "")
	if err := parseFlags(flags, args, 1, 1); err != nil {
		return err
	}
	cfg.keys, cfg.via = keys.list(), keys.via
	if cfg.rate <= 0 || cfg.rate > maxRate || len(cfg.keys) == 0 {
		return errors.Newf("want a rate above 0 and up to %d, and at least one key", maxRate)
	}
	if _, err := r.findService(flags.Arg(0)); err != nil {
		return err
	}
	cfg.service = flags.Arg(0)
	r.loadCount++
	r.load = startLoad(r, cfg, r.loadCount)
	return nil
}

// loadCheck stops the last load and checks its calls against limits:
// load check [flags]. If a process was starved of CPU during the load, outages
// are limited by starvedLimit only.
func (r *run) loadCheck(ts *testscript.TestScript, args []string) error {
	if r.load == nil {
		return errors.New("no load has been started")
	}
	r.load.stop()
	var limits loadLimits
	flags := flag.NewFlagSet("load check", flag.ContinueOnError)
	flags.DurationVar(&limits.maxOutage, "max-outage", 0, "")
	flags.Float64Var(&limits.minDone, "min-done", 0, "")
	flags.IntVar(&limits.maxUnknown, "max-unknown", noLimit, "")
	flags.IntVar(&limits.maxNotRun, "max-not-run", noLimit, "")
	flags.IntVar(&limits.minCalls, "min-calls", 1, "")
	if err := parseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	s := summarize(r.load.calls())
	printf(ts, "%v\n", s)
	if limits.maxOutage > 0 && s.outage.Length > limits.maxOutage {
		if starved, ok := r.monitor.since(r.load.started); ok {
			printf(ts, "time limit not enforced: %v\n", starved)
			limits.maxOutage = starvedLimit
		}
	}
	if n := r.load.skipped.Load(); n > 0 {
		return errors.Newf("%d calls were skipped because %d were in flight", n, maxLoadCalls)
	}
	return limits.check(s)
}

// cmdCheck stops the load and checks the records of all calls and executions for
// violations of the system's guarantees: check. It also fails if a process has
// exited unexpectedly.
func cmdCheck(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) != 0 {
		return errors.New("usage: check")
	}
	if r.load != nil {
		r.load.stop()
	}
	for _, p := range r.processes() {
		if err := p.process.unexpectedExit(); err != nil {
			return errors.Wrap(err, p.name)
		}
	}
	executions, err := r.executions()
	if err != nil {
		return err
	}
	calls := r.allCalls()
	printf(ts, "executions=%d calls=%d\n", len(executions), len(calls))
	violations := check.Run(executions, calls)
	if len(violations) == 0 {
		return nil
	}
	var text strings.Builder
	for i, v := range violations {
		if i == maxViolations {
			fmt.Fprintf(&text, "\n  and %d more", len(violations)-i)
			break
		}
		fmt.Fprintf(&text, "\n  %v", v)
	}
	return errors.Newf("%d violations:%s", len(violations), text.String())
}

// cmdCrashes checks how many executions crashed a server:
// crashes [-min N] [-max N]. Both limits are 0 by default.
func cmdCrashes(ts *testscript.TestScript, r *run, args []string) error {
	flags := flag.NewFlagSet("crashes", flag.ContinueOnError)
	least := flags.Int("min", 0, "")
	most := flags.Int("max", 0, "")
	if err := parseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	executions, err := r.executions()
	if err != nil {
		return err
	}
	crashed := 0
	for _, e := range executions {
		if e.Crashed {
			crashed++
		}
	}
	printf(ts, "crashes=%d\n", crashed)
	if crashed < *least || crashed > *most {
		return errors.Newf("%d crashes, want %d to %d", crashed, *least, *most)
	}
	return nil
}

// cmdSleep pauses the script: sleep DURATION.
func cmdSleep(_ *testscript.TestScript, _ *run, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: sleep DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	if d > maxSleep {
		return errors.Newf("the duration must be at most %v", maxSleep)
	}
	time.Sleep(d)
	return nil
}
