// Package keyrange holds ranges of the key space of a service whose servers own
// keys, and the load that is seen on its keys.
package keyrange

import "fmt"

// Key is one of the keys that a service's servers own.
type Key uint16

// Last is the greatest key.
const Last Key = 65535

// Count is the number of keys.
const Count = int(Last) + 1

// Range is a run of adjacent keys, both ends included.
type Range struct {
	First Key `json:"first"`
	Last  Key `json:"last"`
}

// All is the range of all keys.
var All = Range{First: 0, Last: Last}

// Contains reports whether the key lies in the range.
func (r Range) Contains(key Key) bool {
	return r.First <= key && key <= r.Last
}

// Width returns the number of keys in the range.
func (r Range) Width() int {
	return int(r.Last) - int(r.First) + 1
}

// SplitAfter cuts the range in two after a key that is not its last one.
func (r Range) SplitAfter(key Key) (left, right Range) {
	return Range{First: r.First, Last: key}, Range{First: key + 1, Last: r.Last}
}

// String returns the range as first-last.
func (r Range) String() string {
	return fmt.Sprintf("%d-%d", r.First, r.Last)
}

// Even cuts all keys into n ranges of nearly equal width.
func Even(n int) []Range {
	ranges := make([]Range, 0, n)
	for i := range n {
		first := i * Count / n
		last := (i+1)*Count/n - 1
		ranges = append(ranges, Range{First: Key(first), Last: Key(last)})
	}
	return ranges
}
