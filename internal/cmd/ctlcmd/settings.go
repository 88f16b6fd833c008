package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// settingsCommand groups the subcommands about the settings tree.
func settingsCommand() cli.Command {
	commands := []cli.Command{
		{Name: "check", Summary: "check settings files", Run: checkSettings},
		{Name: "publish", Summary: "publish a settings file", Run: publishSettings},
		{Name: "show", Summary: "show the settings in force", Run: showSettings},
		{Name: "diff", Summary: "compare settings", Run: diffSettings},
		{Name: "history", Summary: "list the changes that operators published", Run: settingsHistory},
		{Name: "status", Summary: "show which hosts have the settings in force", Run: settingsStatus},
		{Name: "timing", Summary: "show how long changes took to be in force", Run: settingsTiming},
	}
	return cli.Group("poplarctl", "settings", "check, publish and show the settings tree", commands)
}

func checkSettings(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("settings check FILE...", "Checks settings files and prints every fault.",
		[]string{"settings check deploy/moravia.toml"}, stdout, stderr)
	files, code, ok := flags.parse(args, 1, 1000)
	if !ok {
		return code
	}
	for _, file := range files {
		if _, err := parseFile(file); err != nil {
			printFileError(stderr, file, err)
			code = cli.ExitFailure
			continue
		}
		fmt.Fprintf(stdout, "%s: ok\n", file)
	}
	return code
}

// parseFile reads and checks a settings file.
func parseFile(file string) (*settings.Tree, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return settings.Parse(text)
}

// printFileError prints the faults of a settings file, one a line, or the error of reading it.
func printFileError(w io.Writer, file string, err error) {
	var faults settings.Faults
	if !errors.As(err, &faults) {
		fmt.Fprintf(w, "poplarctl: %v\n", err)
		return
	}
	for _, fault := range faults {
		fmt.Fprintf(w, "%s: %s\n", file, fault)
	}
}

// current returns the tree in force and its version, from the log or from a host.
func (t *target) current(ctx context.Context) (*settings.Tree, logservice.Offset, error) {
	if t.usesLog() {
		publisher, err := t.publisher(ctx)
		if err != nil {
			return nil, 0, err
		}
		state := stateOf(publisher)
		return state.Tree(), state.Version(), nil
	}
	client, err := t.client()
	if err != nil {
		return nil, 0, err
	}
	reply, err := client.Settings(ctx)
	if err != nil {
		return nil, 0, err
	}
	tree, err := settings.Parse([]byte(reply.TOML))
	return tree, reply.Version, err
}

func showSettings(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var t target
	flags := newFlags("settings show [-effective PATH] [-admin ADDR | -log URL]",
		"Shows the tree in force as a file to edit and publish, or all values in force at one node.",
		[]string{"settings show > moravia.toml", "settings show -effective revize/morava/zlin", "settings show -effective defaults"}, stdout, stderr)
	effective := flags.String("effective", "", "show all values in force at the node with this `path`; \"defaults\" is the root")
	t.addAdmin(flags)
	t.addLog(flags)
	if _, code, ok := flags.parse(args, 0, 0); !ok {
		return code
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	tree, version, err := t.current(ctx)
	if err != nil {
		return fail(stderr, err)
	}
	if *effective == "" {
		fmt.Fprint(stdout, tree.Text(version))
		return cli.ExitOK
	}
	values, err := tree.Effective(pathArgument(*effective))
	if err != nil {
		return fail(stderr, err)
	}
	fmt.Fprint(stdout, settings.EffectiveText(values))
	return cli.ExitOK
}

// pathArgument converts a path as operators write it, where the root is "defaults".
func pathArgument(text string) string {
	if text == settings.DisplayPath(settings.Root) {
		return settings.Root
	}
	return text
}

func diffSettings(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var t target
	flags := newFlags("settings diff FILE | FILE1 FILE2",
		"Shows the differences from the settings in force to FILE, or from FILE1 to FILE2.",
		[]string{"settings diff moravia.toml", "settings diff old.toml new.toml"}, stdout, stderr)
	t.addAdmin(flags)
	t.addLog(flags)
	files, code, ok := flags.parse(args, 1, 2)
	if !ok {
		return code
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var trees []*settings.Tree
	if len(files) == 1 {
		tree, _, err := t.current(ctx)
		if err != nil {
			return fail(stderr, err)
		}
		trees = append(trees, tree)
	}
	for _, file := range files {
		tree, err := parseFile(file)
		if err != nil {
			printFileError(stderr, file, err)
			return cli.ExitFailure
		}
		trees = append(trees, tree)
	}
	fmt.Fprint(stdout, settings.DiffText(settings.Diff(trees[0], trees[1])))
	return cli.ExitOK
}
