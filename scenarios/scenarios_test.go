package scenarios

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// parallelScripts is the default number of scripts that run in parallel.
const parallelScripts = "3"

var (
	dirFlag  = flag.String("dir", "scripts", "directory of the scripts to run, relative to the module's root or this package")
	logsFlag = flag.String("logs", "", "directory to keep the output of all processes in")
)

func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", parallelScripts); err != nil {
		panic(err)
	}
	testscript.Main(m, Binaries())
}

// TestScripts runs every script of the directory as a subtest named after its file.
func TestScripts(t *testing.T) {
	logs := *logsFlag
	if logs != "" {
		abs, err := filepath.Abs(logs)
		assert.NilError(t, err)
		logs = abs
	}
	params := Params(findDir(*dirFlag), logs)
	testscript.Run(t, params)
}

// findDir returns the path of the scripts' directory. A relative name is looked up
// in this package first and then in the module's root.
func findDir(name string) string {
	if _, err := os.Stat(name); err != nil && !filepath.IsAbs(name) {
		return filepath.Join("..", name)
	}
	return name
}
