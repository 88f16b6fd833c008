// Package keyrange defines the key space of a keyed service, ranges of it, and the
// request load on its keys.
//
// A keyed service's backend servers each own ranges of keys. Every host counts the
// requests that it sends for each key with a Meter and reports the rates to the
// leader. The leader adds the reports up in a Load and decides from it where to
// split a range and which server owns which part. Ranges are part of the stored
// plan, and rates of the hosts' reports; an error here moves keys that need not
// move or leaves a server overloaded.
package keyrange

import "fmt"

// Key is a key of a keyed service, from 0 to Last. Each key has one owner at a time.
type Key uint16

// Last is the largest key.
const Last Key = 65535

// Count is the number of keys.
const Count = int(Last) + 1

// Range is an interval of adjacent keys; First and Last both belong to it.
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

// SplitAfter splits the range in two after a key, which must not be the range's last.
func (r Range) SplitAfter(key Key) (left, right Range) {
	return Range{First: r.First, Last: key}, Range{First: key + 1, Last: r.Last}
}

// String returns the range in the form "first-last".
func (r Range) String() string {
	return fmt.Sprintf("%d-%d", r.First, r.Last)
}

// Even divides the whole key space into n ranges whose widths differ by at most one.
func Even(n int) []Range {
	ranges := make([]Range, 0, n)
	for i := range n {
		first := i * Count / n
		last := (i+1)*Count/n - 1
		ranges = append(ranges, Range{First: Key(first), Last: Key(last)})
	}
	return ranges
}
