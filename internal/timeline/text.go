package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes is the largest length of a line in a file of events. ReadLines fails at a
// longer one.
const maxLineBytes = 1 << 20

// BadLine is a line of a file that cannot be decoded as an event. Line counts from 1.
type BadLine struct {
	Line int
	Err  error
}

// ReadLines reads the lines of JSON that a Recorder's sink writes. It returns the
// events, and separately the lines that cannot be decoded. The error is that of r.
func ReadLines(r io.Reader) ([]Event, []BadLine, error) {
	var events []Event
	var bad []BadLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		var event Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			bad = append(bad, BadLine{Line: number, Err: err})
			continue
		}
		events = append(events, event)
	}
	return events, bad, lines.Err()
}

// WriteText writes events in their given order, one per line; see Event.String.
func WriteText(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for _, event := range events {
		fmt.Fprintln(out, event.String())
	}
	return out.Flush()
}

// String returns the event as one line: offset, time, host, sequence number and kind
// in columns, then the other fields that are set.
func (e Event) String() string {
	at := time.UnixMilli(e.TimeMS).UTC().Format("2006-01-02T15:04:05.000Z")
	head := fmt.Sprintf("%8d %s %-12s %6d %-18s", uint64(e.Offset), at, e.Host, e.Seq, e.Kind)
	return strings.TrimRight(head+e.fieldsText(), " ")
}

// fieldsText returns the fields that are set as name=value, then the quoted detail.
func (e Event) fieldsText() string {
	var b strings.Builder
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	add("service", e.Service)
	if e.Slice != nil {
		add("slice", fmt.Sprint(*e.Slice))
	}
	add("epoch", number(uint64(e.Epoch)))
	add("session", number(uint64(e.Session)))
	add("key", e.Key)
	add("server", e.Server)
	add("zone", e.Zone)
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	return b.String()
}

// number returns n as decimal, or "" for zero.
func number(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}
