package timeline

import (
	"cmp"
	"container/heap"
	"slices"
)

// process identifies the process that recorded an event.
type process struct {
	host        string
	incarnation string
}

// Merge puts the events of several processes into one order and removes duplicates.
// Events of one process stay in the order of their sequence numbers. Of the next
// events of different processes, the one with the lower log offset comes first: its
// process had not yet applied the records that the others had, so it cannot be an
// effect of them. The wall clocks decide only between equal offsets.
func Merge(events []Event) []Event {
	var remaining eventHeap
	for _, sequence := range bySequence(events) {
		remaining = append(remaining, sequence)
	}
	heap.Init(&remaining)
	merged := make([]Event, 0, len(events))
	for len(remaining) > 0 {
		first := remaining[0]
		merged = append(merged, first[0])
		if len(first) == 1 {
			heap.Pop(&remaining)
			continue
		}
		remaining[0] = first[1:]
		heap.Fix(&remaining, 0)
	}
	return merged
}

// bySequence returns the events of each process, ordered by sequence number and without
// duplicates.
func bySequence(events []Event) map[process][]Event {
	sequences := make(map[process][]Event)
	for _, event := range events {
		p := process{event.Host, event.Incarnation}
		sequences[p] = append(sequences[p], event)
	}
	for p, sequence := range sequences {
		slices.SortStableFunc(sequence, func(a, b Event) int { return cmp.Compare(a.Seq, b.Seq) })
		sequences[p] = slices.CompactFunc(sequence, func(a, b Event) bool { return a.Seq == b.Seq })
	}
	return sequences
}

// eventHeap is a heap.Interface of the remaining events of each process, ordered by the
// first of them.
type eventHeap [][]Event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return compareEvents(h[i][0], h[j][0]) < 0 }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.([]Event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	events := (*h)[last]
	*h = (*h)[:last]
	return events
}

// compareEvents orders events of different processes.
func compareEvents(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Offset, b.Offset),
		cmp.Compare(a.TimeMS, b.TimeMS),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
