// Package loop has helpers for background loops: sleeping and periodic calls that end with a
// context. Loops in most other packages use it. It reports no errors; a loop checks its context
// itself.
package loop

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier if the context ends. It returns at once if d is not positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls f at once and then once per interval until the context ends. Calls do not overlap:
// one that takes longer than the interval delays the next one.
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
