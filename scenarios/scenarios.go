// Package scenarios runs scripted scenarios against whole deployments of the
// system. Hosts, the log, the host list and backend servers are processes of
// their own; scripts start and break them, send load and check the records.
// docs/SCENARIOS.md describes the language.
package scenarios

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/poplarcroft/poplarcroft/internal/cmd/ctlcmd"
	"github.com/poplarcroft/poplarcroft/internal/cmd/hostcmd"
)

// Names of the two binaries.
const (
	hostBinary = "poplarcroft"
	ctlBinary  = "poplarctl"
)

// logDirMode is the mode of the directories of processes' output.
const logDirMode = 0o755

// Binaries returns the commands that the test binary stands in for, for testscript.Main.
func Binaries() map[string]func() {
	return map[string]func(){
		hostBinary: func() { os.Exit(hostcmd.Main()) },
		ctlBinary:  func() { os.Exit(ctlcmd.Main()) },
	}
}

// Params returns the parameters of a run of the scripts in dir. The output of
// processes goes to a directory for each script below logs, or to the script's
// work directory where logs is empty.
func Params(dir, logs string) testscript.Params {
	return testscript.Params{
		Dir:                 dir,
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Setup:               func(env *testscript.Env) error { return setup(env, logs) },
		Cmds:                commands(),
	}
}

// runKey is the key of a script's run among its environment's values.
type runKey struct{}

// setup gives a script its run and sees to the end of its processes.
func setup(env *testscript.Env, logs string) error {
	if logs == "" {
		logs = env.WorkDir
	}
	if err := os.MkdirAll(logs, logDirMode); err != nil {
		return err
	}
	// Records of an earlier run would be taken for those of this one.
	dir, err := os.MkdirTemp(logs, filepath.Base(env.WorkDir)+"-processes-")
	if err != nil {
		return err
	}
	r := newRun(dir)
	env.Values[runKey{}] = r
	env.Defer(r.close)
	return nil
}

// scriptCommand is a command of the language. Its error ends the script.
type scriptCommand func(ts *testscript.TestScript, r *run, args []string) error

// commands returns the commands that the language adds to those of testscript.
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

// wrap makes a command one of testscript's.
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

// printf writes to the script's standard output, where the stdout command finds it.
func printf(ts *testscript.TestScript, format string, args ...any) {
	fmt.Fprintf(ts.Stdout(), format, args...)
}
