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

// publication is a settings file to be published.
type publication struct {
	target
	file    string
	text    []byte
	tree    *settings.Tree
	id      record.ID
	base    logservice.Offset
	latest  bool // -base is "latest": base becomes the version in force
	comment string
}

// latestBase is the value of -base that means the latest version.
const latestBase = "latest"

func publishSettings(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var p publication
	flags := newFlags("settings publish [-admin ADDR | -log URL] FILE",
		"Publishes a settings file: the whole tree. If others have changed a node since the version that\n"+
			"the file is based on (its based_on, or -base), that is a conflict and nothing is changed.\n"+
			"Exit code 3 reports a conflict, 4 that the result is unknown.",
		[]string{"settings publish moravia.toml", "settings publish -base 42 moravia.toml", "settings publish -log http://127.0.0.1:7000 moravia.toml"}, stdout, stderr)
	id := flags.String("id", "", "`ID` of an earlier attempt, to retry it without a second change")
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
		return flags.usageError(err.Error())
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
	retryCommand := fmt.Sprintf("settings publish %s -id %s -base %d %s", p.targetFlags(), p.id, p.base, p.file)
	return reportResult(reply, retryCommand, stdout, stderr)
}

// idOrNew returns the record ID of -id, or a new one.
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
		return errors.Newf("-base must be a version or %q, not %q", latestBase, text)
	}
	p.base = logservice.Offset(version)
	return nil
}

// load reads and checks the file. Without -base the base is the file's based_on.
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

// publish publishes the file through the log or a host. After an error nothing has
// been appended.
func (p *publication) publish(ctx context.Context) (admin.PublishReply, error) {
	if p.usesLog() {
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

// publishDirect publishes the file through the log. It appends nothing if the result
// is known before: the ID was published already, or there is a conflict or no change.
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
	r, decision := publish.SettingsRecord(p.id, state, p.tree, p.base, p.comment)
	if !decision.Accepted() {
		return admin.RejectionReply(p.id, decision), nil
	}
	if len(r.Settings.Nodes) == 0 {
		return admin.PublishReply{Result: publish.NothingToChange(p.id, state.Version())}, nil
	}
	result, err := publisher.Publish(ctx, r)
	return admin.PublishReply{Result: result}, err
}

// stateOf returns a copy of the settings in force as far as the publisher has read the log.
func stateOf(publisher *publish.Publisher) *settings.State {
	var clone *settings.State
	publisher.View().Read(func(state *settings.State, _ *ownership.Table) {
		clone = state.Clone()
	})
	return clone
}

// explainConflicts prints how the settings in force now differ from a file that was rejected.
func (p *publication) explainConflicts(ctx context.Context, reply admin.PublishReply, stderr io.Writer) {
	if reply.Status != publish.Refused {
		return
	}
	tree, version, err := p.current(ctx)
	if err != nil {
		return
	}
	fmt.Fprintf(stderr, "the settings in force are version %d; %s is based on version %d; differences from the file to them:\n", version, p.file, p.base)
	fmt.Fprint(stderr, settings.DiffText(settings.Diff(p.tree, tree)))
	fmt.Fprintf(stderr, "to replace them nevertheless: -base %d\n", version)
}

// targetFlags returns the flags that choose the same target in another command.
func (t *target) targetFlags() string {
	if t.usesLog() {
		return "-log " + t.log
	}
	return "-admin " + t.admin
}

// reportResult prints the result of a publication and returns the exit code. If the
// result is unknown it prints retryCommand, which retries under the same ID and is safe.
func reportResult(reply admin.PublishReply, retryCommand string, stdout, stderr io.Writer) int {
	switch reply.Status {
	case publish.Accepted:
		fmt.Fprintf(stdout, "accepted: version %d%s\n", reply.Offset, reasonSuffix(reply.Reason))
		return cli.ExitOK
	case publish.Refused:
		fmt.Fprintf(stderr, "refused, nothing is changed%s\n", reasonSuffix(reply.Reason))
		return cli.ExitConflict
	case publish.NotAppended:
		fmt.Fprintf(stderr, "not published, nothing is changed%s\n", reasonSuffix(reply.Reason))
		return cli.ExitFailure
	}
	fmt.Fprintf(stderr, "unknown: it may or may not take effect%s\n", reasonSuffix(reply.Reason))
	fmt.Fprintf(stderr, "ID %s; to retry it safely:\n  poplarctl %s\n", reply.ID, retryCommand)
	return cli.ExitUnknown
}

// reasonSuffix returns the reason after a colon, "" if there is none.
func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}
