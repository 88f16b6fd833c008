package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// publication is a settings file that is to be published.
type publication struct {
	target
	file    string
	text    []byte
	tree    *settings.Tree
	id      record.ID
	base    logservice.Offset
	latest  bool // base is the latest version, whatever it is
	comment string
}

// latestBase is the value of -base that means the latest version.
const latestBase = "latest"

func publishSettings(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var p publication
	flags := newFlags("settings publish [-admin ADDR | -log URL] FILE",
		"Publishes a settings file: the whole tree. Nodes that others changed since the version\n"+
			"that the file is based on (its based_on, or -base) are conflicts and change nothing.\n"+
			"Exit code 3 reports a conflict, 4 a result that is not known.",
		[]string{"settings publish moravia.toml", "settings publish -base 42 moravia.toml", "settings publish -log http://127.0.0.1:7000 moravia.toml"}, stdout, stderr)
	id := flags.String("id", "", "`ID` of an earlier try, to repeat it safely")
	base := flags.String("base", "", "`version` that the file is based on, or \"latest\" to replace whatever is in force; default the file's based_on")
	flags.StringVar(&p.comment, "comment", "", "`text` for the history")
	p.addAdmin(flags)
	p.addLog(flags)
	files, code, ok := flags.parse(args, 1, 1)
	if !ok {
		return code
	}
	p.file = files[0]
	p.id = idOrNew(*id)
	if err := p.parseBase(*base); err != nil {
		return flags.wrongUsage(err.Error())
	}
	if err := p.load(); err != nil {
		printFileError(stderr, p.file, err)
		return cli.ExitFailure
	}
	ctx, cancel := p.withTimeout(ctx)
	defer cancel()
	reply, err := p.publish(ctx)
	if err != nil {
		return fail(stderr, err)
	}
	p.explainConflicts(ctx, reply, stderr)
	again := fmt.Sprintf("settings publish %s -id %s -base %d %s", p.where(), p.id, p.base, p.file)
	return report(reply, again, stdout, stderr)
}

func idOrNew(id string) record.ID {
	if id == "" {
		return record.NewID()
	}
	return record.ID(id)
}

// parseBase reads the value of -base.
func (p *publication) parseBase(text string) error {
	if text == "" {
		return nil
	}
	if text == latestBase {
		p.latest = true
		return nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errors.Newf("-base wants a version or %q, not %q", latestBase, text)
	}
	p.base = logservice.Offset(version)
	return nil
}

// load reads and checks the file.
func (p *publication) load() error {
	text, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	p.text = text
	p.tree, err = settings.Parse(text)
	if err == nil && p.base == 0 {
		p.base = p.tree.BasedOn
	}
	return err
}

// publish publishes the file through the log or a host. An error says that
// nothing was appended.
func (p *publication) publish(ctx context.Context) (admin.PublishReply, error) {
	if p.direct() {
		return p.publishDirect(ctx)
	}
	client, err := p.client()
	if err != nil {
		return admin.PublishReply{}, err
	}
	if p.latest {
		reply, err := client.Settings(ctx)
		if err != nil {
			return admin.PublishReply{}, err
		}
		p.base = reply.Version
	}
	return client.PublishSettings(ctx, p.id, p.base, p.comment, p.text), nil
}

func (p *publication) publishDirect(ctx context.Context) (admin.PublishReply, error) {
	publisher, err := p.publisher(ctx)
	if err != nil {
		return admin.PublishReply{}, err
	}
	if result, seen := publisher.Seen(p.id); seen {
		return admin.PublishReply{Result: result}, nil
	}
	state := stateOf(publisher)
	if p.latest {
		p.base = state.Version()
	}
	r, verdict := publish.SettingsRecord(p.id, state, p.tree, p.base, p.comment)
	if !verdict.Accepted() {
		return admin.RefusalOf(p.id, verdict), nil
	}
	if len(r.Settings.Nodes) == 0 {
		return admin.PublishReply{Result: publish.NothingToChange(p.id, state.Version())}, nil
	}
	result, err := publisher.Publish(ctx, r)
	return admin.PublishReply{Result: result}, err
}

// stateOf returns the settings as far as the publisher has read the log.
func stateOf(publisher *publish.Publisher) *settings.State {
	var clone *settings.State
	publisher.View().Read(func(state *settings.State, _ *ownership.Table) {
		clone = state.Clone()
	})
	return clone
}

// explainConflicts shows how the settings in force now differ from the file.
func (p *publication) explainConflicts(ctx context.Context, reply admin.PublishReply, stderr io.Writer) {
	if reply.Status != publish.Refused {
		return
	}
	tree, version, err := p.current(ctx)
	if err != nil {
		return
	}
	fmt.Fprintf(stderr, "the settings in force are version %d; %s is based on version %d; from the file to them:\n", version, p.file, p.base)
	fmt.Fprint(stderr, settings.DiffText(settings.Diff(p.tree, tree)))
	fmt.Fprintf(stderr, "to replace them all the same: -base %d\n", version)
}

// where returns the flags that choose the target again.
func (t *target) where() string {
	if t.direct() {
		return "-log " + t.log
	}
	return "-admin " + t.admin
}

// report prints what became of a publication and returns the exit code. The
// command again repeats it safely.
func report(reply admin.PublishReply, again string, stdout, stderr io.Writer) int {
	switch reply.Status {
	case publish.Accepted:
		fmt.Fprintf(stdout, "accepted: version %d%s\n", reply.Offset, note(reply.Reason))
		return cli.ExitOK
	case publish.Refused:
		fmt.Fprintf(stderr, "refused, nothing is changed%s\n", note(reply.Reason))
		return cli.ExitConflict
	case publish.NotAppended:
		fmt.Fprintf(stderr, "not published, nothing is changed%s\n", note(reply.Reason))
		return cli.ExitFailure
	}
	fmt.Fprintf(stderr, "unknown: it may or may not take effect%s\n", note(reply.Reason))
	fmt.Fprintf(stderr, "ID %s; to repeat it safely:\n  poplarctl %s\n", reply.ID, again)
	return cli.ExitUnknown
}

func note(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}
