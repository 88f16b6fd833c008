package admin

import "context"

// principalKey is the key of a request's principal in its context.
type principalKey struct{}

func withPrincipal(ctx context.Context, principal Principal) context.Context {
	return context.WithValue(ctx, principalKey{}, principal)
}

// principalOf returns the principal of a request that has passed its guard.
func principalOf(ctx context.Context) Principal {
	principal, ok := ctx.Value(principalKey{}).(Principal)
	if !ok {
		panic("admin: request without a principal")
	}
	return principal
}
