// Package hostcmd holds the subcommands of the poplarcroft binary.
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
