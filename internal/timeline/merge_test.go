package timeline

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
)

// event returns an event of the named host's process.
func event(host string, seq uint64, offset logservice.Offset, timeMS int64) Event {
	return Event{Host: host, Seq: seq, Offset: offset, TimeMS: timeMS, Kind: KindLogDown}
}

func TestMergeOrdersByOffsetBeforeClocks(t *testing.T) {
	merged := Merge([]Event{
		event("fast-clock", 1, 3, 9_000),
		event("slow-clock", 1, 4, 10),
		event("slow-clock", 2, 4, 11),
		event("fast-clock", 2, 5, 9_001),
		event("fast-clock", 1, 3, 9_000),
	})
	var order []string
	for _, e := range merged {
		order = append(order, e.Host[:4])
	}
	assert.DeepEqual(t, order, []string{"fast", "slow", "slow", "fast"})
}

func TestMergeKeepsTheOrderOfAProcessWhoseClockSteppedBack(t *testing.T) {
	merged := Merge([]Event{event("a", 2, 3, 50), event("b", 1, 3, 70), event("a", 1, 3, 100)})
	assert.Equal(t, merged[0].Host, "b")
	assert.Equal(t, merged[1].Seq, uint64(1))
	assert.Equal(t, merged[2].Seq, uint64(2))
}

// TestMergeIsACausalOrder checks that Merge keeps all events, orders them by sequence
// number within a process and by offset overall, and that the result does not depend
// on the order of its input. The offsets of each process never decrease.
func TestMergeIsACausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Event
		for _, host := range []string{"a", "b", "c"} {
			offset := logservice.Offset(0)
			for seq := range rapid.IntRange(0, 8).Draw(t, "events") {
				offset += logservice.Offset(rapid.IntRange(0, 2).Draw(t, "step"))
				events = append(events, event(host, uint64(seq+1), offset, rapid.Int64Range(0, 9).Draw(t, "time")))
			}
		}
		merged := Merge(events)
		assert.Equal(t, len(merged), len(events))
		last := map[string]uint64{}
		for i, e := range merged {
			assert.Equal(t, e.Seq, last[e.Host]+1)
			last[e.Host] = e.Seq
			if i > 0 {
				assert.Assert(t, merged[i-1].Offset <= e.Offset)
			}
		}
		shuffled := rapid.Permutation(events).Draw(t, "shuffled")
		assert.DeepEqual(t, Merge(shuffled), merged)
	})
}

func TestFilterSelectsByKeyServerAndZone(t *testing.T) {
	events := []Event{
		{Seq: 1, Key: "k", Zone: "z"},
		{Seq: 2, Slice: SliceNumber(4), Server: "s"},
		{Seq: 3, Slice: SliceNumber(5), Zone: "z"},
	}
	for _, c := range []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 3},
		{Filter{Key: "k"}, 1},
		{Filter{Key: "k", KeySlice: SliceNumber(4)}, 2},
		{Filter{Server: "s"}, 1},
		{Filter{Zone: "z"}, 2},
		{Filter{Zone: "z", Server: "s"}, 0},
	} {
		assert.Equal(t, len(c.filter.Select(events)), c.want, "%+v", c.filter)
	}
}

func TestLinesThatAreNotEventsAreReturnedSeparately(t *testing.T) {
	events, bad, err := ReadLines(strings.NewReader("{\"host\":\"a\"}\nnot json\n{\"host\":\"b\"}\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, len(bad), 1)
	assert.Equal(t, bad[0].Line, 2)
}

func TestTextHasALineForEachEvent(t *testing.T) {
	var out bytes.Buffer
	e := Event{Host: "h1", Seq: 2, Offset: 7, Kind: KindSliceActivated, Slice: SliceNumber(0), Epoch: 14, Detail: "two words"}
	assert.NilError(t, WriteText(&out, []Event{e}))
	assert.Equal(t, out.String(), "       7 1970-01-01T00:00:00.000Z h1                2 slice-activated    slice=0 epoch=14 \"two words\"\n")
}

func TestPlotIsAnImage(t *testing.T) {
	events := []Event{event("a", 1, 1, 1), event("b", 1, 1, 2)}
	for format, magic := range map[string]string{"png": "\x89PNG", "svg": "<?xml"} {
		var out bytes.Buffer
		assert.NilError(t, WritePlot(&out, format, events))
		assert.Assert(t, strings.HasPrefix(out.String(), magic), format)
	}
	assert.ErrorIs(t, WritePlot(&bytes.Buffer{}, "png", nil), ErrNoEvents)
	assert.Assert(t, WritePlot(&bytes.Buffer{}, "bmp", events) != nil)
}
