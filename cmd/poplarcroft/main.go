// Command poplarcroft runs hosts of the router: one host of package host (serve), one of
// package edge on the users' platform (platform), or a complete development system in one
// process (dev). Its subcommands are in package hostcmd.
package main

import (
	"os"

	"github.com/poplarcroft/poplarcroft/internal/cmd/hostcmd"
)

func main() {
	os.Exit(hostcmd.Main())
}
