package ctlcmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/standin"
)

// keyedService is a settings file with one service that is divided by key.
const keyedService = "[service.revize]\nkeyed = true\n"

// result is the exit code and the output of one run of poplarctl.
type result struct {
	code           int
	stdout, stderr string
}

// ctl runs poplarctl with arguments separated by spaces.
func ctl(t *testing.T, arguments string) result {
	t.Helper()
	commands := []cli.Command{settingsCommand(), markCommand(), showCommand(), timelineCommand()}
	var stdout, stderr bytes.Buffer
	code := cli.Dispatch(context.Background(), "poplarctl", commands, strings.Fields(arguments), &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// startLog starts a stand-in of the log and returns the -log flag for it.
func startLog(t *testing.T, faults standin.LogFaults) string {
	t.Helper()
	log := standin.NewLog(standin.LogConfig{Listen: "127.0.0.1:0", Faults: faults})
	address, err := log.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, log.Close()) })
	return " -log http://" + address + " "
}

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestCheckReportsEveryFault(t *testing.T) {
	file := writeFile(t, "[defaults]\nslot = 1\nconnections = 0\n")
	got := ctl(t, "settings check "+file)
	assert.Equal(t, got.code, cli.ExitFailure)
	assert.Equal(t, got.stderr, file+": line 2: defaults: unknown field \"slot\"; did you mean \"slots\"?\n"+
		file+": line 3: defaults.connections: 0 is outside of 1 to 100000\n")
	assert.Equal(t, ctl(t, "settings check ../../../deploy/moravia.toml ../../../deploy/riga.toml").code, cli.ExitOK)
}

func TestPublishShowDiffAndHistoryOnTheLog(t *testing.T) {
	log := startLog(t, standin.LogFaults{})
	file := writeFile(t, keyedService)
	assert.Equal(t, ctl(t, "settings publish"+log+file), result{stdout: "accepted: version 1\n"})
	assert.Equal(t, ctl(t, "settings publish"+log+file), result{stdout: "accepted: version 1: nothing to change\n"})
	assert.Equal(t, ctl(t, "settings show"+log), result{stdout: "based_on = 1\n\n" + keyedService})
	assert.Assert(t, strings.Contains(ctl(t, "settings show -effective defaults"+log).stdout, "slots = 4\n"))
	assert.Assert(t, strings.Contains(ctl(t, "settings show -effective revise"+log).stderr, `did you mean "revize"?`))
	changed := writeFile(t, keyedService+"slots = 5\n")
	assert.Equal(t, ctl(t, "settings diff"+log+changed), result{stdout: "[service.revize]\n+ slots = 5\n"})
	unnamed := ctl(t, "settings publish"+log+changed)
	assert.Equal(t, unnamed.code, cli.ExitConflict)
	assert.Assert(t, strings.HasSuffix(unnamed.stderr, "to replace them nevertheless: -base 1\nrefused, nothing is changed: revize: based on version 0, but has version 1\n"), unnamed.stderr)
	assert.Equal(t, ctl(t, "settings publish -base x"+log+changed).code, cli.ExitUsage)
	assert.Equal(t, ctl(t, "settings publish -author anna -base latest"+log+changed).code, cli.ExitOK)
	history := ctl(t, "settings history"+log).stdout
	assert.Equal(t, strings.Count(history, "\n"), 2)
	assert.Assert(t, strings.Contains(history, "anna         accepted settings revize\n"), history)
	assert.Assert(t, strings.Contains(ctl(t, "settings history -at 2"+log).stdout, "based on version 1\nkeyed = true\nslots = 5\n"))
}

func TestConflictingPublicationShowsTheDifferences(t *testing.T) {
	log := startLog(t, standin.LogFaults{})
	assert.Equal(t, ctl(t, "settings publish"+log+writeFile(t, keyedService)).code, cli.ExitOK)
	first := writeFile(t, "based_on = 1\n"+keyedService+"slots = 5\n")
	second := writeFile(t, "based_on = 1\n"+keyedService+"slots = 6\n")
	assert.Equal(t, ctl(t, "settings publish"+log+first).code, cli.ExitOK)
	got := ctl(t, "settings publish"+log+second)
	assert.Equal(t, got.code, cli.ExitConflict)
	assert.Assert(t, strings.Contains(got.stderr, "revize: based on version 1, but has version 2"), got.stderr)
	assert.Assert(t, strings.Contains(got.stderr, "- slots = 6\n+ slots = 5\n"), got.stderr)
}

func TestPublicationIsAcceptedThoughItsAnswerIsLost(t *testing.T) {
	log := startLog(t, standin.LogFaults{LoseEvery: 1})
	assert.Equal(t, ctl(t, "settings publish"+log+writeFile(t, keyedService)), result{stdout: "accepted: version 1\n"})
	assert.Equal(t, ctl(t, "mark host h1 leaving"+log).code, cli.ExitOK)
}

func TestUnknownResultPrintsTheRetryCommand(t *testing.T) {
	log := startLog(t, standin.LogFaults{AppendsPerSecond: 1e-6})
	assert.Equal(t, ctl(t, "settings publish"+log+writeFile(t, keyedService)).code, cli.ExitOK)
	file := writeFile(t, keyedService+"slots = 5\n")
	got := ctl(t, "settings publish -timeout 300ms -base 1 -id again"+log+file)
	assert.Equal(t, got.code, cli.ExitUnknown)
	assert.Assert(t, strings.HasSuffix(got.stderr, "  poplarctl settings publish"+log+"-id again -base 1 "+file+"\n"), got.stderr)
}

func TestPublishFailsIfTheLogCannotBeRead(t *testing.T) {
	got := ctl(t, "settings publish -timeout 300ms -log http://127.0.0.1:1 "+writeFile(t, keyedService))
	assert.Equal(t, got.code, cli.ExitFailure)
}

func TestMarksOnTheLog(t *testing.T) {
	log := startLog(t, standin.LogFaults{})
	assert.Equal(t, ctl(t, "settings publish ../../../deploy/moravia.toml"+log).code, cli.ExitOK)
	typo := ctl(t, "mark zone olomuc leaving"+log)
	assert.Equal(t, typo.code, cli.ExitFailure)
	assert.Assert(t, strings.Contains(typo.stderr, `unknown zone "olomuc"; did you mean "olomouc"?`), typo.stderr)
	assert.Equal(t, ctl(t, "mark zone olomouc leaving"+log).stdout, "accepted: version 2\n")
	assert.Equal(t, ctl(t, "mark zone olomouc leaving"+log).stdout, "accepted: version 2: nothing to change\n")
	lost := ctl(t, "mark zone olomouc lost"+log)
	assert.Equal(t, lost.code, cli.ExitUsage)
	assert.Assert(t, strings.Contains(lost.stderr, "every host and every backend server in the zone olomouc"))
	assert.Equal(t, ctl(t, "mark zone olomouc lost -yes"+log).stdout, "accepted: version 3\n")
	assert.Equal(t, ctl(t, "mark zone olomouc active"+log).stdout, "accepted: version 4\n")
	assert.Equal(t, ctl(t, "mark zone hosts-only leaving -force"+log).code, cli.ExitOK)
	assert.Equal(t, ctl(t, "mark planet earth active"+log).code, cli.ExitUsage)
}

func TestHelpHasExamples(t *testing.T) {
	for _, command := range []string{"settings check", "settings publish", "settings show", "settings diff", "settings history", "settings status", "settings timing", "mark", "show owners", "show sessions", "show load", "show hosts", "show marks", "timeline"} {
		got := ctl(t, command+" -help")
		assert.Equal(t, got.code, cli.ExitOK, command)
		assert.Assert(t, strings.Contains(got.stdout, "Examples:\n  poplarctl "+strings.Fields(command)[0]), command)
		assert.Equal(t, ctl(t, command+" -nonsense").code, cli.ExitUsage, command)
	}
}
