// Command poplarcroft runs one host of the router.
package main

import (
	"os"

	"github.com/poplarcroft/poplarcroft/internal/cmd/hostcmd"
)

func main() {
	os.Exit(hostcmd.Main())
}
