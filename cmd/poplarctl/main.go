// Command poplarctl is the operators' tool.
package main

import (
	"os"

	"github.com/poplarcroft/poplarcroft/internal/cmd/ctlcmd"
)

func main() {
	os.Exit(ctlcmd.Main())
}
