package scenarios

import (
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// maxAwait is the highest time limit that await accepts.
	maxAwait = 60 * time.Second
	// probeInterval is the time between two checks of a condition.
	probeInterval = 20 * time.Millisecond
	// defaultKeys is the number of keys if the flag -keys is not given.
	defaultKeys = 20
)

// condition checks a property of the deployment and returns nil if it holds, or
// an error that says why not. It takes at most the time left.
type condition func(left time.Duration) error

// cmdAwait waits until a condition holds, at most for LIMIT:
// await LIMIT CONDITION [flags] [ARGUMENTS]. If a process was starved of CPU, it
// waits up to starvedLimit longer.
func cmdAwait(ts *testscript.TestScript, r *run, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: await LIMIT CONDITION ...")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	if limit > maxAwait {
		return errors.Newf("the limit must be at most %v", maxAwait)
	}
	cond, err := r.newCondition(args[1], args[2:])
	if err != nil {
		return err
	}
	start := time.Now()
	if err := waitFor(cond, limit); err != nil {
		starved, ok := r.monitor.since(start)
		if !ok {
			return errors.Wrapf(err, "condition not met within %v", limit)
		}
		printf(ts, "time limit not enforced: %v\n", starved)
		if err := waitFor(cond, starvedLimit); err != nil {
			return errors.Wrapf(err, "condition not met within %v", limit+starvedLimit)
		}
	}
	printf(ts, "after=%v\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// waitFor checks the condition repeatedly until it holds or the limit is exceeded.
func waitFor(cond condition, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		err := cond(time.Until(deadline))
		if err == nil && !time.Now().After(deadline) {
			return nil
		}
		if err == nil {
			err = errors.New("condition met only after the limit")
		}
		if time.Until(deadline) < probeInterval {
			return err
		}
		time.Sleep(probeInterval)
	}
}

// newCondition returns the named condition of await.
func (r *run) newCondition(name string, args []string) (condition, error) {
	switch name {
	case "served":
		return r.newServed(args)
	case "away":
		return r.newAway(args)
	case "used":
		return r.newUsed(args)
	case "exited":
		return r.newExited(args)
	}
	return nil, errors.Newf("unknown condition %q", name)
}

// keysFlags are the flags that select keys of a service and the hosts to call:
// -keys N for the keys k0 to k(N-1), -only for a list separated by commas, and -via
// for hosts or zones.
type keysFlags struct {
	keys int
	only string
	via  stringList
}

func (f *keysFlags) register(flags *flag.FlagSet) {
	flags.IntVar(&f.keys, "keys", defaultKeys, "")
	flags.StringVar(&f.only, "only", "", "")
	flags.Var(&f.via, "via", "")
}

// list returns the selected keys.
func (f *keysFlags) list() []string {
	if f.only != "" {
		return strings.Split(f.only, ",")
	}
	keys := make([]string, f.keys)
	for i := range keys {
		keys[i] = fmt.Sprintf("k%d", i)
	}
	return keys
}

// newServed returns the condition that every key is served through every host:
// served [-keys N | -only KEYS] [-via HOST|ZONE] SERVICE.
func (r *run) newServed(args []string) (condition, error) {
	var f keysFlags
	flags := flag.NewFlagSet("served", flag.ContinueOnError)
	f.register(flags)
	if err := parseFlags(flags, args, 1, 1); err != nil {
		return nil, err
	}
	name := flags.Arg(0)
	accept := func(string) error { return nil }
	return func(left time.Duration) error { return r.probeKeys(name, f, left, accept) }, nil
}

// newAway returns the condition that every key is served, and none by the named
// servers or zones: away [-keys N | -only KEYS] [-via HOST|ZONE] SERVICE NAME...
func (r *run) newAway(args []string) (condition, error) {
	var f keysFlags
	flags := flag.NewFlagSet("away", flag.ContinueOnError)
	f.register(flags)
	if err := parseFlags(flags, args, 2, maxArgs); err != nil {
		return nil, err
	}
	name, names := flags.Arg(0), flags.Args()[1:]
	accept := func(serverName string) error {
		s := r.findServer(serverName)
		if s == nil || s.named(names) {
			return errors.Newf("served by %q", serverName)
		}
		return nil
	}
	return func(left time.Duration) error { return r.probeKeys(name, f, left, accept) }, nil
}

// newUsed returns the condition that at least one key is served by the named
// servers or zones: used [-keys N | -only KEYS] [-via HOST|ZONE] SERVICE NAME...
func (r *run) newUsed(args []string) (condition, error) {
	var f keysFlags
	flags := flag.NewFlagSet("used", flag.ContinueOnError)
	f.register(flags)
	if err := parseFlags(flags, args, 2, maxArgs); err != nil {
		return nil, err
	}
	return func(left time.Duration) error {
		found, err := r.keysOf(flags.Arg(0), f, flags.Args()[1:])
		if err == nil && len(found) == 0 {
			err = errors.New("the named servers and zones serve none of the keys")
		}
		return err
	}, nil
}

// probeKeys probes every key of a service through every selected host, the keys in
// parallel. accept returns an error if the server that answered is not allowed.
func (r *run) probeKeys(service string, f keysFlags, left time.Duration, accept func(server string) error) error {
	hosts := r.callableHosts(f.via)
	if len(hosts) == 0 {
		return errors.New("no reachable host")
	}
	timeout := min(left, probeTimeout)
	return forEachParallel(f.list(), func(key string) error {
		for _, h := range hosts {
			owner, err := r.probe(service, key, []*host{h}, timeout)
			if err != nil {
				return err
			}
			if err := accept(owner); err != nil {
				return errors.Wrapf(err, "key %s", key)
			}
		}
		return nil
	})
}

// newExited returns the condition that no process of the named hosts, servers and
// zones is running: exited NAME...
func (r *run) newExited(args []string) (condition, error) {
	if len(args) == 0 {
		return nil, errors.New("want at least one host, server or zone")
	}
	return func(time.Duration) error {
		for _, name := range args {
			if running := r.running(name); len(running) > 0 {
				return errors.Newf("%s is running", running[0].name)
			}
		}
		return nil
	}, nil
}
