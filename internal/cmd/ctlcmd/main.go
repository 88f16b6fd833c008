// Package ctlcmd holds the subcommands of the poplarctl binary.
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
