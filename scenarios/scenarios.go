// Package scenarios runs end-to-end tests: scripts that start a whole deployment,
// inject faults and check that the system keeps its guarantees. Each script in
// scripts/ is a subtest of TestScripts. Its head comment says which fault it
// covers, and docs/SCENARIOS.md describes the script language.
//
// Hosts, the log, the host list and backend servers run as separate processes of
// the test binary (see Binaries). A script kills, freezes or partitions them while
// a load sends calls. The backend servers record every execution and the callers
// every call; the check command runs package check on these records, and load
// check compares a load's outages and outcomes with limits.
//
// A script fails if a guarantee is violated, a time limit is exceeded or a
// process exits unexpectedly. The processes' output and records are kept in the
// directory that the flag -logs names. Time limits are not enforced while the
// machine starves the processes of CPU (see starvationMonitor).
package scenarios

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarcroft/poplarcroft/internal/cmd/ctlcmd"
	"github.com/poplarcroft/poplarcroft/internal/cmd/hostcmd"
)

// Names of the host's binary and the operators' tool.
const (
	hostBinary = "poplarcroft"
	ctlBinary  = "poplarctl"
)

// logDirMode is the mode of the directories for the processes' output.
const logDirMode = 0o755

// Binaries returns the main functions of the commands by name, for
// testscript.Main. The test binary runs one of them when it is started under that
// name.
func Binaries() map[string]func() {
	return map[string]func(){
		hostBinary: func() { os.Exit(hostcmd.Main()) },
		ctlBinary:  func() { os.Exit(ctlcmd.Main()) },
	}
}

// Params returns the testscript parameters to run the scripts in dir. Each script
// writes its processes' output to a new directory below logs, or below its work
// directory if logs is empty.
func Params(dir, logs string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Setup:               func(env *testscript.Env) error { return setup(env, logs) },
		Cmds:                commands(),
	}
}

// runKey is the key of a script's *run in testscript.Env.Values.
type runKey struct{}

// setup creates a script's run and registers its cleanup, which ends all processes.
func setup(env *testscript.Env, logs string) error {
	if logs == "" {
		logs = env.WorkDir
	}
	if err := os.MkdirAll(logs, logDirMode); err != nil {
		return err
	}
	// A new directory each time: records of an earlier run must not be read as
	// those of this one.
	dir, err := os.MkdirTemp(logs, filepath.Base(env.WorkDir)+"-processes-")
	if err != nil {
		return err
	}
	r := newRun(dir)
	env.Values[runKey{}] = r
	env.Defer(r.close)
	return nil
}

// scriptCommand is a command of the script language. An error fails the script.
type scriptCommand func(ts *testscript.TestScript, r *run, args []string) error

// commands returns the commands that the script language adds to testscript's own.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	list := map[string]scriptCommand{
		"service":   cmdService,
		"zone":      cmdZone,
		"start":     cmdStart,
		"crash":     cmdCrash,
		"terminate": cmdTerminate,
		"freeze":    cmdFreeze,
		"thaw":      cmdThaw,
		"cut":       cmdCut,
		"heal":      cmdHeal,
		"silence":   cmdSilence,
		"log":       cmdLog,
		"hostlist":  cmdHostList,
		"fault":     cmdFault,
		"send":      cmdSend,
		"addr":      cmdAddr,
		"owner":     cmdOwner,
		"keys":      cmdKeys,
		"renewer":   cmdRenewer,
		"load":      cmdLoad,
		"await":     cmdAwait,
		"check":     cmdCheck,
		"crashes":   cmdCrashes,
		"sleep":     cmdSleep,
	}
	wrapped := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, command := range list {
		wrapped[name] = wrap(name, command)
	}
	return wrapped
}

// wrap adapts a scriptCommand to testscript's signature. Negation (! name) is not
// supported.
func wrap(name string, command scriptCommand) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("unsupported: ! %s", name)
		}
		r := ts.Value(runKey{}).(*run)
		if err := command(ts, r, args); err != nil {
			ts.Fatalf("%s: %v", name, err)
		}
	}
}

// printf writes to the script's standard output, which the stdout command matches.
func printf(ts *testscript.TestScript, format string, args ...any) {
	fmt.Fprintf(ts.Stdout(), format, args...)
}
