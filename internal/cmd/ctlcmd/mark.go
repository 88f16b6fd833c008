package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// markCommand marks zones, hosts and backend servers.
func markCommand() cli.Command {
	return cli.Command{
		Name:    "mark",
		Summary: "mark a zone, host or backend server as leaving, active or lost",
		Run:     runMark,
	}
}

func runMark(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var t target
	flags := newFlags("mark zone|host|server NAME leaving|active|lost [-comment TEXT]",
		"Marks a zone, a host or a backend server (by its address).\n"+
			"leaving: it gets no new work and its slices move away. active: the mark is removed.\n"+
			"lost: asserts that everything there has stopped for good; requires -yes.",
		[]string{"mark zone olomouc leaving -comment 'power work'", "mark zone olomouc active", "mark server 127.0.0.1:9101 leaving"}, stdout, stderr)
	comment := flags.String("comment", "", "`text` for the history")
	force := flags.Bool("force", false, "also mark a zone or backend server that the settings do not contain")
	yes := flags.Bool("yes", false, "confirm the assertion of a mark as lost")
	id := flags.String("id", "", "`ID` of an earlier attempt, to retry it without a second change")
	t.addAdmin(flags)
	t.addLog(flags)
	arguments, code, ok := flags.parse(args, 3, 3)
	if !ok {
		return code
	}
	request := admin.MarkRequest{
		ID:      idOrNew(*id),
		Subject: record.Subject(arguments[0]),
		Name:    arguments[1],
		State:   record.MarkState(arguments[2]),
		Comment: *comment,
		Force:   *force,
	}
	if problem := publish.CheckMark(request.Subject, request.Name, request.State); problem != "" {
		return flags.usageError(problem)
	}
	if request.State == record.MarkLost && !*yes {
		fmt.Fprint(stderr, lostWarning(request.Subject, request.Name))
		return cli.ExitUsage
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	reply, err := t.mark(ctx, request)
	if err != nil {
		return fail(stderr, err)
	}
	return reportResult(reply, markRetryCommand(t, request), stdout, stderr)
}

// markRetryCommand returns the arguments of the command that retries a mark under the same ID.
func markRetryCommand(t target, request admin.MarkRequest) string {
	confirmed := ""
	if request.State == record.MarkLost {
		confirmed += " -yes"
	}
	if request.Force {
		confirmed += " -force"
	}
	return fmt.Sprintf("mark %s -id %s%s %s %s %s", t.targetFlags(), request.ID, confirmed, request.Subject, request.Name, request.State)
}

// mark sets a mark through the log or a host. After an error nothing has been appended.
func (t *target) mark(ctx context.Context, request admin.MarkRequest) (admin.PublishReply, error) {
	if !t.usesLog() {
		client, err := t.client()
		if err != nil {
			return admin.PublishReply{}, err
		}
		return client.SetMark(ctx, request)
	}
	publisher, err := t.publisher(ctx)
	if err != nil {
		return admin.PublishReply{}, err
	}
	if result, seen := publisher.Seen(request.ID); seen {
		return admin.PublishReply{Result: result}, nil
	}
	if problem := request.Check(stateOf(publisher).Tree()); problem != "" {
		return admin.PublishReply{Result: publish.Result{ID: request.ID, Status: publish.NotAppended, Reason: problem}}, nil
	}
	current := currentMark(publisher, request)
	if current.State == request.State {
		return admin.PublishReply{Result: publish.NothingToChange(request.ID, current.Version)}, nil
	}
	result, err := publisher.Publish(ctx, publish.MarkRecord(request.ID, request.Mark(), current.Version))
	return admin.PublishReply{Result: result}, err
}

// currentMark returns the mark in force on the subject of the request.
func currentMark(publisher *publish.Publisher, request admin.MarkRequest) ownership.Mark {
	var mark ownership.Mark
	publisher.View().Read(func(_ *settings.State, table *ownership.Table) {
		mark = table.Mark(request.Subject, request.Name)
	})
	return mark
}

// lostWarning explains what an operator asserts by declaring a subject lost, and the consequences.
func lostWarning(subject record.Subject, name string) string {
	what := map[record.Subject]string{
		record.SubjectZone:   "every host and every backend server in the zone " + name + " has",
		record.SubjectHost:   "the process of the host " + name + " has",
		record.SubjectServer: "the process of the backend server " + name + " has",
	}[subject]
	consequence := ""
	if subject == record.SubjectZone {
		consequence = "Its keys are then given to other servers at once, without waiting for leases.\n"
	}
	return fmt.Sprintf("Declaring it lost asserts that %s stopped for good,\n"+
		"and can neither run a request nor write any data any more.\n%s"+
		"If this is not true, a key can have two owners.\n"+
		"Nothing was changed; run the command again with -yes to declare it.\n", what, consequence)
}
