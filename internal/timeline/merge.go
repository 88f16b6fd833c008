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

// Merge puts the events of several processes into one order and drops
// repeated ones. Events of one process stay in the order of their sequence
// numbers. Of events of different processes, the one whose process had applied
// the lower log offset comes first: what a record caused follows what came
// before the record. Clocks decide only where the offsets are equal.
func Merge(events []Event) []Event {
	var queue headQueue
	for _, sequence := range bySequence(events) {
		queue = append(queue, sequence)
	}
	heap.Init(&queue)
	merged := make([]Event, 0, len(events))
	for len(queue) > 0 {
		first := queue[0]
		merged = append(merged, first[0])
		if len(first) == 1 {
			heap.Pop(&queue)
			continue
		}
		queue[0] = first[1:]
		heap.Fix(&queue, 0)
	}
	return merged
}

// bySequence returns the events of each process, ordered and each once.
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

// headQueue is a heap of the processes' remaining events, by the first of each.
type headQueue [][]Event

func (q headQueue) Len() int           { return len(q) }
func (q headQueue) Less(i, j int) bool { return compareHeads(q[i][0], q[j][0]) < 0 }
func (q headQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *headQueue) Push(x any) { *q = append(*q, x.([]Event)) }

// Pop implements heap.Interface.
func (q *headQueue) Pop() any {
	last := len(*q) - 1
	events := (*q)[last]
	*q = (*q)[:last]
	return events
}

// compareHeads orders events of different processes.
func compareHeads(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Offset, b.Offset),
		cmp.Compare(a.TimeMS, b.TimeMS),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
