// Package hotkey finds keys and slices with high load, and plans moves of slices that
// lower the load of the most loaded backend server.
//
// Package host keeps Rates of the slices that its host serves as the primary, and calls
// Plan when package planner has nothing to do for a service; package experiment
// simulates the same. Sketch estimates the load of single keys; no other package uses it
// yet. The package does no I/O and reads no clock, and nothing in it fails: unknown
// slices and servers are ignored, and Plan returns no moves if it cannot lower the load
// enough. Sketch and Rates are not safe for concurrent use.
package hotkey

import (
	"cmp"
	"container/heap"
	"slices"
)

// KeyCount is a key with its estimated count. The true count is between Count minus
// Error and Count.
type KeyCount struct {
	Key   string  `json:"key"`
	Count float64 `json:"count"`
	Error float64 `json:"error"`
}

// Sketch estimates the counts of the most frequent keys in bounded memory by
// the space-saving algorithm: when the sketch is full, a new key replaces the least
// frequent one and inherits its count, which becomes the error of the new key.
type Sketch struct {
	capacity int
	entries  entryHeap
	byKey    map[string]*sketchEntry
}

// sketchEntry is a key with its index in the heap.
type sketchEntry struct {
	KeyCount
	index int
}

// NewSketch returns a sketch that keeps at most capacity keys, at least one. Every key
// with more than 1/capacity of the total count is among them.
func NewSketch(capacity int) *Sketch {
	capacity = max(capacity, 1)
	return &Sketch{capacity: capacity, byKey: make(map[string]*sketchEntry, capacity)}
}

// Add counts the key once.
func (s *Sketch) Add(key string) {
	entry := s.byKey[key]
	switch {
	case entry != nil:
	case len(s.entries) < s.capacity:
		entry = &sketchEntry{KeyCount: KeyCount{Key: key}}
		heap.Push(&s.entries, entry)
		s.byKey[key] = entry
	default:
		entry = s.entries[0]
		delete(s.byKey, entry.Key)
		entry.Key = key
		entry.Error = entry.Count
		s.byKey[key] = entry
	}
	entry.Count++
	heap.Fix(&s.entries, entry.index)
}

// Decay multiplies all counts by factor, from 0 to 1, so that older requests count
// less than newer ones.
func (s *Sketch) Decay(factor float64) {
	for _, entry := range s.entries {
		entry.Count *= factor
		entry.Error *= factor
	}
}

// Top returns up to count keys with the highest counts, the highest first.
func (s *Sketch) Top(count int) []KeyCount {
	all := make([]KeyCount, 0, len(s.entries))
	for _, entry := range s.entries {
		all = append(all, entry.KeyCount)
	}
	slices.SortFunc(all, func(a, b KeyCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(max(count, 0), len(all))]
}

// entryHeap implements heap.Interface. The least frequent key is first.
type entryHeap []*sketchEntry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].Count < h[j].Count }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap) Push(x any) {
	entry := x.(*sketchEntry)
	entry.index = len(*h)
	*h = append(*h, entry)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	*h = (*h)[:last]
	return entry
}
