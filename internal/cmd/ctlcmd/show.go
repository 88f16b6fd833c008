package ctlcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// showCommand groups the subcommands that show a host's state.
func showCommand() cli.Command {
	commands := []cli.Command{
		{Name: "owners", Summary: "show the owner of a key", Run: showOwners},
		{Name: "sessions", Summary: "show the backend servers' sessions", Run: showSessions},
		{Name: "load", Summary: "show the backend servers' load as the host sees it", Run: showLoad},
		{Name: "hosts", Summary: "show all hosts", Run: showHosts},
		{Name: "marks", Summary: "show the marks in force", Run: showMarks},
	}
	return cli.Group("poplarctl", "show", "show owners, sessions, load, hosts and marks", commands)
}

// display is one run of a show command: its flags and how its reply is printed.
type display struct {
	target
	flags *commandFlags
	json  bool
}

// newDisplay returns a show command with the flags that choose a host and the format.
func newDisplay(usage, summary, example string, stdout, stderr io.Writer) *display {
	d := &display{flags: newFlags(usage, summary, []string{example}, stdout, stderr)}
	d.flags.BoolVar(&d.json, "json", false, "print JSON")
	d.addAdmin(d.flags)
	return d
}

// run calls fetch and prints its reply, as JSON or as the table that the function writes.
func run[T any](ctx context.Context, d *display, fetch func(context.Context, *admin.Client) (T, error), table func(io.Writer, T)) int {
	client, err := d.client()
	if err != nil {
		return fail(d.flags.stderr, err)
	}
	ctx, cancel := d.withTimeout(ctx)
	defer cancel()
	reply, err := fetch(ctx, client)
	if err != nil {
		return fail(d.flags.stderr, err)
	}
	if d.json {
		return d.printJSON(reply)
	}
	rows := tabwriter.NewWriter(d.flags.stdout, 0, 8, 2, ' ', 0)
	table(rows, reply)
	if err := rows.Flush(); err != nil {
		return fail(d.flags.stderr, err)
	}
	return cli.ExitOK
}

func (d *display) printJSON(reply any) int {
	encoder := json.NewEncoder(d.flags.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reply); err != nil {
		return fail(d.flags.stderr, err)
	}
	return cli.ExitOK
}

func showOwners(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	d := newDisplay("show owners KEY [-service NAME]", "Shows the owner of a key in one service, or in all that are divided by key.", "show owners hospital-7 -service revize", stdout, stderr)
	service := d.flags.String("service", "", "`name` of the service")
	keys, code, ok := d.flags.parse(args, 1, 1)
	if !ok {
		return code
	}
	fetch := func(ctx context.Context, client *admin.Client) ([]admin.Owner, error) {
		return fetchOwners(ctx, client, *service, keys[0])
	}
	return run(ctx, d, fetch, ownersTable)
}

// fetchOwners returns the owners of a key in one service, or in all keyed ones for "".
func fetchOwners(ctx context.Context, client *admin.Client, service, key string) ([]admin.Owner, error) {
	names := []string{service}
	if service == "" {
		var err error
		if names, err = keyedServices(ctx, client); err != nil {
			return nil, err
		}
	}
	var owners []admin.Owner
	for _, name := range names {
		owner, err := client.Owner(ctx, name, key)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		owners = append(owners, owner)
	}
	return owners, nil
}

// keyedServices returns the names of the services that are divided by key.
func keyedServices(ctx context.Context, client *admin.Client) ([]string, error) {
	reply, err := client.Settings(ctx)
	if err != nil {
		return nil, err
	}
	tree, err := settings.Parse([]byte(reply.TOML))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, service := range tree.Services() {
		if service.Values.Keyed {
			names = append(names, service.Name)
		}
	}
	return names, nil
}

func ownersTable(w io.Writer, owners []admin.Owner) {
	fmt.Fprintln(w, "SERVICE\tSLICE\tSERVER\tZONE\tSESSION\tEPOCH\tLEAD\tSUCCESSOR\tMOVING")
	for _, owner := range owners {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\t%t\n", owner.Service, owner.Slice, orDash(owner.Server),
			orDash(owner.Zone), owner.Session, owner.Epoch, orDash(owner.Lead), orDash(owner.SuccessorServer), owner.Moving)
	}
}

// orDash returns the text, "-" if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func showSessions(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	d := newDisplay("show sessions", "Shows the backend servers' open sessions.", "show sessions", stdout, stderr)
	if _, code, ok := d.flags.parse(args, 0, 0); !ok {
		return code
	}
	fetch := func(ctx context.Context, client *admin.Client) (admin.SessionsReply, error) {
		return client.Sessions(ctx)
	}
	return run(ctx, d, fetch, func(w io.Writer, reply admin.SessionsReply) {
		fmt.Fprintln(w, "SESSION\tSERVICE\tZONE\tSERVER\tSLICES\tLEAD\tLESSORS\tVERSION")
		for _, s := range reply.Sessions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\t%s\t%d\n", s.ID, s.Service, s.Zone, s.Server, s.Slices,
				orDash(s.Lead), strings.Join(s.Lessors, ","), s.Version)
		}
	})
}

// hostLoad is the load of one backend server as one host reports it.
type hostLoad struct {
	// Asked is the address of the host that reported it.
	Asked string `json:"asked"`
	admin.ServerLoad
}

func showLoad(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	d := newDisplay("show load [-admin ADDR,ADDR,...]",
		"Shows the backend servers' load as hosts see it. A host reports the servers whose primary it is, and\n"+
			"those of services not divided by key that it has sent requests to.",
		"show load -admin 10.0.0.1:8081,10.0.0.2:8081", stdout, stderr)
	if _, code, ok := d.flags.parse(args, 0, 0); !ok {
		return code
	}
	fetch := func(ctx context.Context, _ *admin.Client) ([]hostLoad, error) { return d.fetchLoads(ctx) }
	return run(ctx, d, fetch, func(w io.Writer, loads []hostLoad) {
		fmt.Fprintln(w, "ASKED\tSERVICE\tZONE\tSERVER\tIN FLIGHT\tQUEUED\tSLOTS\tLATENCY\tREPORTED\tREPORT AGE\tDRAINING")
		for _, s := range loads {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1fms\t%.2f\t%dms\t%t\n", s.Asked, s.Service, s.Zone, s.Server,
				s.InFlight, s.Queued, s.Slots, s.LatencyMS, s.Reported, s.ReportAgeMS, s.Draining)
		}
	})
}

// fetchLoads returns the loads that all hosts named by -admin report.
func (d *display) fetchLoads(ctx context.Context) ([]hostLoad, error) {
	loads := []hostLoad{}
	for _, address := range strings.Split(d.admin, ",") {
		client, err := d.clientOf(address)
		if err != nil {
			return nil, err
		}
		reply, err := client.Load(ctx)
		if err != nil {
			return nil, errors.Wrap(err, address)
		}
		for _, server := range reply.Servers {
			loads = append(loads, hostLoad{Asked: address, ServerLoad: server})
		}
	}
	return loads, nil
}

func showHosts(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	d := newDisplay("show hosts", "Shows all hosts of the platform's list.", "show hosts", stdout, stderr)
	if _, code, ok := d.flags.parse(args, 0, 0); !ok {
		return code
	}
	fetch := func(ctx context.Context, client *admin.Client) (admin.StatusReply, error) { return client.Status(ctx) }
	return run(ctx, d, fetch, printHosts)
}

func showMarks(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	d := newDisplay("show marks", "Shows the marks in force.", "show marks", stdout, stderr)
	if _, code, ok := d.flags.parse(args, 0, 0); !ok {
		return code
	}
	fetch := func(ctx context.Context, client *admin.Client) (admin.MarksReply, error) { return client.Marks(ctx) }
	return run(ctx, d, fetch, func(w io.Writer, reply admin.MarksReply) {
		fmt.Fprintln(w, "SUBJECT\tNAME\tSTATE\tVERSION\tCOMMENT")
		for _, mark := range reply.Marks {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", mark.Subject, mark.Name, mark.State, mark.Version, mark.Comment)
		}
	})
}
