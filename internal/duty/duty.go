// Package duty holds what goroutines with a duty of their own share: waiting
// and repeating until their context ends.
package duty

import (
	"context"
	"time"
)

// Wait returns after d, or earlier when the context ends.
func Wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls f at once and then at the interval until the context ends. A call
// that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
