package follow

import (
	"context"
	"sync/atomic"
)

// Progress counts the bytes of a read's answer while they arrive, so that a read that is receiving can be told from one
// that hangs. It is safe for concurrent use.
type Progress struct {
	bytes atomic.Int64
	// outer is the Progress of a wider operation that the read is part of, or nil.
	outer *Progress
}

type progressKey struct{}

// WithProgress returns a context with which sources report the bytes that they receive to p, and to the Progress that ctx has
// already. A Progress must be used for one context only.
func WithProgress(ctx context.Context, p *Progress) context.Context {
	p.outer, _ = ctx.Value(progressKey{}).(*Progress)
	return context.WithValue(ctx, progressKey{}, p)
}

// ReportProgress adds bytes to the context's Progress, if it has one.
func ReportProgress(ctx context.Context, bytes int) {
	p, _ := ctx.Value(progressKey{}).(*Progress)
	for ; p != nil; p = p.outer {
		p.bytes.Add(int64(bytes))
	}
}

// Bytes returns the number of bytes that have arrived.
func (p *Progress) Bytes() int64 {
	return p.bytes.Load()
}
