// Package hostcmd holds the subcommands of the poplarcroft binary, which its main
// function runs. Each one checks its command line completely before it listens or
// connects: wrong arguments end it with cli.ExitUsage, a later failure with
// cli.ExitFailure and a message on stderr.
package hostcmd

import "github.com/poplarcroft/poplarcroft/internal/cli"

// Main runs the poplarcroft binary and returns its exit code.
func Main() int {
	return cli.Main("poplarcroft", []cli.Command{
		serveCommand(),
		platformCommand(),
		devCommand(),
	})
}
