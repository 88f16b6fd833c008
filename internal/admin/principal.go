package admin

import "context"

// principalKey is the context key of a request's principal.
type principalKey struct{}

// withPrincipal returns a context that carries the principal.
func withPrincipal(ctx context.Context, principal Principal) context.Context {
	return context.WithValue(ctx, principalKey{}, principal)
}

// principalOf returns the principal of an authenticated request. It panics if the
// context carries none.
func principalOf(ctx context.Context) Principal {
	principal, ok := ctx.Value(principalKey{}).(Principal)
	if !ok {
		panic("admin: request without a principal")
	}
	return principal
}
