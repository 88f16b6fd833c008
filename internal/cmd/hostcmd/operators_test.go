package hostcmd

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/host"
)

func TestOperatorFilesAreCheckedAtTheStart(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "operators.toml")
	assert.NilError(t, os.WriteFile(bad, []byte("[[token]]\nname='a'\nrole='root'\n"), 0o600))
	for _, c := range []struct {
		name string
		args []string
		want string
	}{
		{"none", nil, ""},
		{"missing file", []string{"-operators", bad + "x"}, "no such file"},
		{"bad file", []string{"-operators", bad}, "unknown role"},
		{"key alone", []string{"-admin-key", bad}, "require -admin-cert"},
		{"bad certificate", []string{"-admin-cert", bad, "-admin-key", bad}, "load certificate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			flags := flag.NewFlagSet("serve", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			operators := addOperatorFlags(flags)
			assert.NilError(t, flags.Parse(c.args))
			var config host.Config
			err := operators.apply(&config)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}
