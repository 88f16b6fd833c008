package ctlcmd

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/load"
)

const loadUsage = `usage: poplarctl load -service NAME -hosts IP:PORT,... [flags]

Sends a seeded load to hosts on loopback addresses and prints a summary as JSON.
Latency is measured from each request's intended start.

Examples:
  poplarctl load -service archiv -hosts 127.0.0.1:8080 -rate 500 -duration 30s
  poplarctl load -service revize -hosts 127.0.0.1:8080,127.0.0.1:8090 -repeats 2 -records attempts.jsonl
  poplarctl load -service archiv -hosts 127.0.0.1:8080 -compare 127.0.0.1:9001 -pids 4242

Flags:
`

// loadOptions are the flags of the load command that are not part of load.Config.
type loadOptions struct {
	hosts, compare, pids, records string
}

func loadCommand() cli.Command {
	return cli.Command{Name: "load", Summary: "send a measured load to hosts", Run: runLoad}
}

func runLoad(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	config := load.DefaultConfig()
	var options loadOptions
	flags := loadFlags(&config, &options, stderr)
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return cli.ExitOK
	} else if err != nil {
		return cli.ExitUsage
	}
	config.Targets = splitList(options.hosts)
	pids, err := parsePIDs(options.pids)
	if err == nil {
		err = config.Check()
	}
	if err == nil && flags.NArg() > 0 {
		err = errors.Newf("unexpected argument %q", flags.Arg(0))
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	result, err := sendLoad(ctx, config, options, pids)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return printJSON(result, stdout, stderr)
}

// loadFlags returns the flag set that fills config and options.
func loadFlags(config *load.Config, options *loadOptions, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, loadUsage)
		flags.PrintDefaults()
	}
	flags.StringVar(&options.hosts, "hosts", "", "`addresses` that get the requests in turn, separated by commas")
	flags.StringVar(&options.compare, "compare", "", "backend server `addresses` that first get the same load without a host, for comparison")
	flags.StringVar(&options.pids, "pids", "", "process `ids` whose CPU time is measured, separated by commas")
	flags.StringVar(&options.records, "records", "", "`file` that gets one JSON line for every attempt")
	flags.BoolVar(&config.Direct, "direct", false, "the addresses are backend servers")
	flags.StringVar(&config.Service, "service", "", "`name` of the service")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of arrivals and keys")
	flags.Float64Var(&config.Rate, "rate", config.Rate, "mean requests per second")
	flags.DurationVar(&config.Duration, "duration", config.Duration, "length of the run")
	flags.IntVar(&config.Requests, "requests", 0, "largest number of requests; 0 for as many as the duration allows")
	flags.IntVar(&config.Concurrency, "concurrency", config.Concurrency, "largest number of requests in flight")
	flags.DurationVar(&config.Timeout, "timeout", config.Timeout, "timeout of each attempt")
	flags.IntVar(&config.Keys, "keys", config.Keys, "number of keys")
	flags.StringVar((*string)(&config.Distribution), "distribution", string(config.Distribution), "uniform or zipf")
	flags.Float64Var(&config.ZipfExponent, "zipf", config.ZipfExponent, "exponent of the zipf distribution, above 1")
	flags.Float64Var(&config.HotShare, "hot-share", 0, "share of requests for keys of the hot set, 0 to 1")
	flags.IntVar(&config.HotKeys, "hot-keys", config.HotKeys, "number of keys in the hot set")
	flags.DurationVar(&config.HotSetInterval, "hot-moves", config.HotSetInterval, "time after which another set of keys becomes hot")
	flags.Float64Var(&config.WriteShare, "writes", config.WriteShare, "share of POST requests, 0 to 1")
	flags.IntVar(&config.BodyBytes, "body", config.BodyBytes, "bytes in the body of a POST request")
	flags.IntVar(&config.Retries, "repeats", 0, "number of times that a request with unknown outcome is retried, each time at the next address")
	return flags
}

// sendLoad runs the load and returns its summary, or with -compare the comparison.
func sendLoad(ctx context.Context, config load.Config, options loadOptions, pids []int) (result any, err error) {
	records := io.Discard
	if options.records != "" {
		file, createErr := os.Create(options.records)
		if createErr != nil {
			return nil, errors.Wrap(createErr, "records")
		}
		buffered := bufio.NewWriter(file)
		records = buffered
		defer func() {
			err = errors.CombineErrors(err, errors.CombineErrors(buffered.Flush(), file.Close()))
		}()
	}
	if options.compare != "" {
		return load.Compare(ctx, config, splitList(options.compare), pids, records)
	}
	return load.RunWithCPUTime(ctx, config, pids, records)
}

// printJSON prints a value as indented JSON and returns the exit code.
func printJSON(value any, stdout, stderr io.Writer) int {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// splitList returns the items of a comma-separated list, none for "".
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func parsePIDs(list string) ([]int, error) {
	var pids []int
	for _, field := range splitList(list) {
		pid, err := strconv.Atoi(field)
		if err != nil || pid <= 0 {
			return nil, errors.Newf("%q is not a process id", field)
		}
		pids = append(pids, pid)
	}
	return pids, nil
}
