package ctlcmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/experiment"
)

// Limits of the flag -runs.
const (
	defaultRuns = 10
	maxRuns     = 1000
)

func experimentCommand() cli.Command {
	return cli.Group("poplarctl", "experiment", "compare policies in a queueing model", experimentCommands())
}

func experimentCommands() []cli.Command {
	return []cli.Command{
		{Name: "balance", Summary: "policies without faults, with cold starts, crashes and freezes", Run: runPolicies(
			"balance", experiment.FaultNone, experiment.FaultCold, experiment.FaultCrash, experiment.FaultFreeze)},
		{Name: "slow", Summary: "policies with one server in five slowed down", Run: runPolicies(
			"slow", experiment.FaultNone, experiment.FaultSlow, experiment.FaultMoving)},
		{Name: "hot", Summary: "slices and consistent hashing with hot keys and changing servers", Run: runHot},
		{Name: "placing", Summary: "choice among servers without keys: bursts, slow, partly failing (grey) and noisy servers", Run: runReplay(
			"placing", experiment.ComparePlacing, experiment.PrintPlacing)},
		{Name: "waiting", Summary: "requests that wait for the one server that owns their keys: bursts and a slow server", Run: runReplay(
			"waiting", experiment.CompareWaiting, experiment.PrintWaiting)},
	}
}

// experimentFlags returns a flag set with the flags that all experiments share.
func experimentFlags(name string, stderr io.Writer) (flags *flag.FlagSet, runs *int, asJSON *bool) {
	flags = flag.NewFlagSet("poplarctl experiment "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	runs = flags.Int("runs", defaultRuns, "number of seeds")
	asJSON = flags.Bool("json", false, "print JSON and no table")
	return flags, runs, asJSON
}

// runReplay returns a command that runs every policy on the same loads and prints the results.
func runReplay[R any](name string, compare func(runs int) []R, printTable func(io.Writer, []R) error) func(context.Context, []string, io.Writer, io.Writer) int {
	return func(_ context.Context, args []string, stdout, stderr io.Writer) int {
		flags, runs, asJSON := experimentFlags(name, stderr)
		if code, proceed := parseExperiment(flags, args, runs, stderr); !proceed {
			return code
		}
		results := compare(*runs)
		if *asJSON {
			return printJSON(results, stdout, stderr)
		}
		return exitCode(printTable(stdout, results), stderr)
	}
}

// parseExperiment parses the flags. If proceed is false, the command ends with the code.
func parseExperiment(flags *flag.FlagSet, args []string, runs *int, stderr io.Writer) (code int, proceed bool) {
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return cli.ExitOK, false
	} else if err != nil {
		return cli.ExitUsage, false
	}
	if *runs < 1 || *runs > maxRuns {
		fmt.Fprintf(stderr, "runs must be 1 to %d\n", maxRuns)
		return cli.ExitUsage, false
	}
	return cli.ExitOK, true
}

// runPolicies returns a command that compares the balancing policies under each fault.
func runPolicies(name string, faults ...experiment.Fault) func(context.Context, []string, io.Writer, io.Writer) int {
	return func(_ context.Context, args []string, stdout, stderr io.Writer) int {
		config := experiment.DefaultConfig()
		flags, runs, asJSON := experimentFlags(name, stderr)
		flags.Uint64Var(&config.Seed, "seed", config.Seed, "first seed")
		flags.Float64Var(&config.Load, "load", config.Load, "share of all slots that the requests need on average")
		flags.DurationVar(&config.Duration, "duration", config.Duration, "simulated time of each run")
		if code, proceed := parseExperiment(flags, args, runs, stderr); !proceed {
			return code
		}
		rows, err := experiment.Compare(config, faults, *runs)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return cli.ExitUsage
		}
		if *asJSON {
			return printJSON(rows, stdout, stderr)
		}
		return exitCode(experiment.PrintRows(stdout, rows), stderr)
	}
}

func runHot(_ context.Context, args []string, stdout, stderr io.Writer) int {
	config := experiment.DefaultHotConfig()
	flags, runs, asJSON := experimentFlags("hot", stderr)
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "first seed")
	flags.IntVar(&config.Servers, "servers", config.Servers, "number of servers, at least 3")
	flags.IntVar(&config.Slices, "slices", config.Slices, "number of slices, at least the number of servers")
	flags.Float64Var(&config.HotShare, "hot-share", config.HotShare, "share of requests that go to hot keys")
	flags.IntVar(&config.HotKeys, "hot-keys", config.HotKeys, "number of keys that are hot at a time")
	if code, proceed := parseExperiment(flags, args, runs, stderr); !proceed {
		return code
	}
	if err := config.Check(); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	rows := experiment.CompareHot(config, *runs)
	if *asJSON {
		return printJSON(rows, stdout, stderr)
	}
	return exitCode(experiment.PrintHotRows(stdout, rows), stderr)
}

// exitCode prints an error and returns the exit code.
func exitCode(err error, stderr io.Writer) int {
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}
