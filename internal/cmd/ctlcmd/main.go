// Package ctlcmd holds the subcommands of the poplarctl binary, which its main function
// runs. Commands for operators use a host's administration API or, with -log, the
// platform's log itself. Results go to stdout and messages to stderr. The exit codes
// are those of package cli: a change that may or may not have taken effect ends with
// cli.ExitUnknown and prints the command that retries it under the same ID.
package ctlcmd

import "github.com/poplarcroft/poplarcroft/internal/cli"

// Main runs the poplarctl binary and returns its exit code.
func Main() int {
	return cli.Main("poplarctl", []cli.Command{
		settingsCommand(),
		markCommand(),
		showCommand(),
		timelineCommand(),
		standinCommand(),
		loadCommand(),
		experimentCommand(),
	})
}
