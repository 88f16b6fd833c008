// Command poplarcroft runs hosts of the router: one host on the product's own interface
// (serve), one on the users' platform (platform), or a development system (dev). Its
// subcommands are in package hostcmd.
package main

import (
	"os"

	"github.com/poplarcroft/poplarcroft/internal/cmd/hostcmd"
)

func main() {
	os.Exit(hostcmd.Main())
}
