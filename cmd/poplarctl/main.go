// Command poplarctl is the operators' tool: it publishes settings and marks, shows the
// state of hosts, and runs stand-ins, loads and experiments. Its subcommands are in
// package ctlcmd.
package main

import (
	"os"

	"github.com/poplarcroft/poplarcroft/internal/cmd/ctlcmd"
)

func main() {
	os.Exit(ctlcmd.Main())
}
