package concurrency

import (
	"slices"
	"time"
)

const (
	// speedSpan is the shortest time whose samples form one median, and minSpanSamples the least number of them.
	speedSpan      = time.Second
	minSpanSamples = 8
	// maxSpanSamples bounds the memory of one median.
	maxSpanSamples = 32
	// speedMedians is the number of medians whose median is the lasting speed. A slow time of 5 s makes up an
	// eighth of them.
	speedMedians = 40
	// minMedians is the number of medians from which on the lasting speed is known.
	minMedians = 8
)

// lastingSpeed estimates the logarithm of the time that requests lastingly take at a server.
type lastingSpeed struct {
	span      []float64
	spanBegan time.Duration
	medians   []float64
	next      int
	// known is the estimate, which is computed with each new median.
	known float64
}

// add adds a sample.
func (s *lastingSpeed) add(sample float64, now time.Duration) {
	if len(s.span) == 0 {
		s.spanBegan = now
	}
	if len(s.span) < maxSpanSamples {
		s.span = append(s.span, sample)
	}
	if now-s.spanBegan < speedSpan || len(s.span) < minSpanSamples {
		return
	}
	if len(s.medians) < speedMedians {
		s.medians = append(s.medians, median(s.span))
	} else {
		s.medians[s.next] = median(s.span)
		s.next = (s.next + 1) % speedMedians
	}
	s.span = s.span[:0]
	s.known = median(s.medians)
}

// value returns the estimate, and false if too little is known.
func (s *lastingSpeed) value() (float64, bool) {
	return s.known, len(s.medians) >= minMedians
}

// median returns the median of at least one value.
func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
