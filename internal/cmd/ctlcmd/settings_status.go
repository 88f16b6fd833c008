package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

const (
	// statusPollInterval is the pause between two reads of the hosts' status.
	statusPollInterval = 50 * time.Millisecond
	// minReportedLogSilence is the time since the log's last answer from which the status mentions it.
	minReportedLogSilence = 5 * time.Second
)

func settingsHistory(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var t target
	flags := newFlags("settings history [-at VERSION]",
		"Lists the changes and marks that operators published, as far as the log still contains them.",
		[]string{"settings history", "settings history -at 42"}, stdout, stderr)
	at := flags.Uint64("at", 0, "show the changes of the record at this `version`")
	t.addAdmin(flags)
	t.addLog(flags)
	if _, code, ok := flags.parse(args, 0, 0); !ok {
		return code
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	entries, err := t.history(ctx)
	if err != nil {
		return fail(stderr, err)
	}
	if *at == 0 {
		for _, entry := range entries {
			fmt.Fprintln(stdout, historyLine(entry))
		}
		return cli.ExitOK
	}
	for _, entry := range entries {
		if entry.Offset == logservice.Offset(*at) {
			printEntry(stdout, entry)
			return cli.ExitOK
		}
	}
	fmt.Fprintf(stderr, "poplarctl: the log contains no operator's record at version %d\n", *at)
	return cli.ExitFailure
}

func (t *target) history(ctx context.Context) ([]publish.HistoryEntry, error) {
	if t.usesLog() {
		return publish.History(ctx, t.platformLog())
	}
	client, err := t.client()
	if err != nil {
		return nil, err
	}
	reply, err := client.History(ctx)
	return reply.Entries, err
}

// historyLine formats an entry of the history as one line.
func historyLine(entry publish.HistoryEntry) string {
	at := time.UnixMilli(entry.Record.TimeMS).UTC().Format(time.RFC3339)
	decision := "accepted"
	if !entry.Accepted {
		decision = "refused"
	}
	line := fmt.Sprintf("%8d %s %-12s %-8s %s", entry.Offset, at, entry.Record.Author, decision, subjectText(entry.Record))
	if !entry.Accepted {
		line += " (" + strings.ReplaceAll(entry.Reason, "\n", "; ") + ")"
	}
	return line
}

// subjectText describes what a settings or mark record changes.
func subjectText(r record.Record) string {
	if r.Mark != nil {
		return fmt.Sprintf("mark %s %s %s%s", r.Mark.Subject, r.Mark.Name, r.Mark.State, quoted(r.Mark.Comment))
	}
	var paths []string
	for _, node := range r.Settings.Nodes {
		paths = append(paths, settings.DisplayPath(node.Path))
	}
	return "settings " + strings.Join(paths, " ") + quoted(r.Settings.Comment)
}

// quoted returns a comment in quotes after a space, "" if there is none.
func quoted(comment string) string {
	if comment == "" {
		return ""
	}
	return fmt.Sprintf(" %q", comment)
}

// printEntry prints an entry with the new values of each node.
func printEntry(w io.Writer, entry publish.HistoryEntry) {
	fmt.Fprintln(w, historyLine(entry))
	if entry.Record.Settings == nil {
		return
	}
	for _, node := range entry.Record.Settings.Nodes {
		removed := ""
		if node.Removed {
			removed = " removed"
		}
		fmt.Fprintf(w, "\n%s, based on version %d%s\n%s", settings.DisplayPath(node.Path), node.Base, removed, node.TOML)
	}
}

func settingsStatus(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var t target
	flags := newFlags("settings status [-wait DURATION]",
		"Shows which version each host has applied. Exit code 1 reports that the latest settings are not in force on all hosts.",
		[]string{"settings status", "settings status -wait 3s"}, stdout, stderr)
	wait := flags.Duration("wait", 0, "wait up to this long for the settings to be in force on all hosts")
	t.addAdmin(flags)
	if _, code, ok := flags.parse(args, 0, 0); !ok {
		return code
	}
	client, err := t.client()
	if err != nil {
		return fail(stderr, err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout+*wait)
	defer cancel()
	reply, err := pollStatus(ctx, client, *wait)
	if err != nil {
		return fail(stderr, err)
	}
	printHosts(stdout, reply)
	if !reply.InForce {
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// pollStatus returns the status once the settings are in force on all hosts or the wait is over.
func pollStatus(ctx context.Context, client *admin.Client, wait time.Duration) (admin.StatusReply, error) {
	deadline := time.Now().Add(wait)
	for {
		reply, err := client.Status(ctx)
		if err != nil || reply.InForce || !time.Now().Before(deadline) {
			return reply, err
		}
		time.Sleep(statusPollInterval)
	}
}

// printHosts prints whether the settings are in force, and a table of the hosts.
func printHosts(w io.Writer, reply admin.StatusReply) {
	everywhere := "not in force everywhere"
	if reply.InForce {
		everywhere = "in force everywhere"
	}
	fmt.Fprintf(w, "settings version %d: %s\n", reply.SettingsVersion, everywhere)
	silence := time.Duration(reply.LogSilenceMS) * time.Millisecond
	if silence >= minReportedLogSilence {
		fmt.Fprintf(w, "the log has not answered this host for %s; later changes may exist\n", silence.Round(time.Second))
	}
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tZONE\tSTATE\tAPPLIED\tANSWERED\tSETTINGS")
	for _, host := range reply.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%dms ago\t%s\n", host.Host, host.Zone, host.State,
			host.Applied, host.AnsweredMS, inForceText(host, reply.SettingsVersion))
	}
	_ = table.Flush() // fails only if writing to stdout fails
}

// inForceText describes whether a version of the settings is in force on a host.
func inForceText(host admin.HostStatus, version logservice.Offset) string {
	switch {
	case !host.Reachable:
		return "unreachable"
	case host.Applied < version:
		return "behind"
	}
	return "in force"
}
