package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/cli"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// timelineCommand merges the events of several processes.
func timelineCommand() cli.Command {
	return cli.Command{
		Name:    "timeline",
		Summary: "show the events of all hosts in one order",
		Run:     runTimeline,
	}
}

// timelineOptions are the flags of the timeline command.
type timelineOptions struct {
	target
	plot   string
	filter timeline.Filter
}

func runTimeline(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o timelineOptions
	flags := newFlags("timeline [-admin ADDR,...] [-key KEY] [-server ADDR] [-zone ZONE] [-plot FILE] [FILE...]",
		"Merges the events of hosts and of files (one JSON event a line), ordered by log offset and causality.",
		[]string{"timeline -admin 10.0.0.1:8081,10.0.0.2:8081 -zone olomouc", "timeline -service revize -key hospital-7", "timeline -admin '' -plot events.svg *.events"}, stdout, stderr)
	o.addAdmin(flags)
	flags.StringVar(&o.plot, "plot", "", "draw the events into this `file`; its extension, .png or .svg, chooses the format")
	flags.StringVar(&o.filter.Key, "key", "", "only events of this `key`; with -service also those of its slice")
	flags.StringVar(&o.filter.Service, "service", "", "only events of this service")
	flags.StringVar(&o.filter.Server, "server", "", "only events of the backend server at this `address`")
	flags.StringVar(&o.filter.Zone, "zone", "", "only events of this zone")
	files, code, ok := flags.parse(args, 0, 1000)
	if !ok {
		return code
	}
	ctx, cancel := o.withTimeout(ctx)
	defer cancel()
	events, failed := o.collect(ctx, files, stderr)
	selected := o.filter.Select(timeline.Merge(events))
	if err := o.write(stdout, selected); err != nil {
		return fail(stderr, err)
	}
	if failed {
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// collect reads the events of all hosts and files. A source that fails is reported on
// stderr and left out, and failed is true.
func (o *timelineOptions) collect(ctx context.Context, files []string, stderr io.Writer) (events []timeline.Event, failed bool) {
	for _, address := range strings.Split(o.admin, ",") {
		if address == "" {
			continue
		}
		more, err := o.fromHost(ctx, address)
		if err != nil {
			fmt.Fprintf(stderr, "poplarctl: %s: %v\n", address, err)
			failed = true
		}
		events = append(events, more...)
	}
	for _, file := range files {
		more, err := fromFile(file, stderr)
		if err != nil {
			fmt.Fprintf(stderr, "poplarctl: %v\n", err)
			failed = true
		}
		events = append(events, more...)
	}
	return events, failed
}

// fromHost returns the events of the host at an address. If the flags name a key and
// its service, it first looks up the key's slice, so that the filter selects its events.
func (o *timelineOptions) fromHost(ctx context.Context, address string) ([]timeline.Event, error) {
	client, err := o.clientOf(address)
	if err != nil {
		return nil, err
	}
	if o.filter.Key != "" && o.filter.Service != "" && o.filter.KeySlice == nil {
		o.filter.KeySlice = keySlice(ctx, client, o.filter.Service, o.filter.Key)
	}
	reply, err := client.Timeline(ctx, 0)
	return reply.Events, err
}

// keySlice returns the slice of a key, nil if the host does not know it.
func keySlice(ctx context.Context, client *admin.Client, service, key string) *int {
	owner, err := client.Owner(ctx, service, key)
	if err != nil {
		return nil
	}
	return timeline.SliceNumber(owner.Slice)
}

// fromFile returns the events in a file and reports its malformed lines on stderr.
func fromFile(file string, stderr io.Writer) ([]timeline.Event, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	events, bad, err := timeline.ReadLines(f)
	for _, line := range bad {
		fmt.Fprintf(stderr, "poplarctl: %s:%d: not an event: %v\n", file, line.Line, line.Err)
	}
	return events, errors.Wrap(err, file)
}

// write prints the events, or draws them if -plot is given.
func (o *timelineOptions) write(stdout io.Writer, events []timeline.Event) error {
	if o.plot == "" {
		return timeline.WriteText(stdout, events)
	}
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(o.plot)), ".")
	f, err := os.Create(o.plot)
	if err != nil {
		return err
	}
	err = timeline.WritePlot(f, format, events)
	return errors.CombineErrors(err, f.Close())
}
