package hostcmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/platform"
)

func platformCommand() cli.Command {
	return cli.Command{
		Name:    "platform",
		Summary: "run one host on the users' platform, with the settings file that the environment names",
		Run:     runPlatform,
	}
}

// runPlatform runs one host until an interrupt or a termination signal. Its configuration
// comes from the environment, not from flags.
func runPlatform(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return cli.ExitOK
	}
	if err != nil || flags.NArg() > 0 {
		fmt.Fprintln(stderr, "poplarcroft platform: takes no arguments")
		return cli.ExitUsage
	}
	if err := platform.Run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, "poplarcroft platform:", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}
