// Package poison detects poison requests, which crash the backend servers that run
// them, and rejects them on every host.
//
// Every request that was in flight when a server crashed is a suspect. A suspect that
// is sent again runs alone, as a trial: nothing else is in flight on its server. If it
// finishes, it is cleared. If the server crashes again, nothing else can have been the
// cause. A request counts as poison and is blocked after a configured number of crashes
// of different server incarnations, at least one of them while it ran alone. Another
// number of crashes blocks it even if other requests ran beside it each time; where hosts
// share the servers, none can know that a request ran alone. A request that has finished shortly
// before a crash did not cause it: of one that many callers send, several may be in flight on the
// servers of a rack that loses power.
//
// Every attempt to send a request to a server asks a Guard first and reports its end to
// it (packages route and front). A crash is often noticed only after the connections
// broke, so requests without an answer stay under suspicion until the server answers
// again or a time has passed. Hosts exchange records of crashes, so that a request is
// rejected wherever its caller repeats it.
//
// EvidenceStore holds the evidence and exchanges it with other hosts. Tracker follows
// the requests in flight of one host. Both are state machines without locks or clock;
// Guard makes them usable by concurrent requests.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request; it is the same whenever the request is repeated.
type Fingerprint [16]byte

// Request holds what a fingerprint is computed from.
type Request struct {
	Service string
	Key     string
	// IdempotencyKey is the request's ID given by the caller, or empty.
	IdempotencyKey string
	Method         string
	// Path is the path and the query.
	Path string
	Body []byte
}

// FingerprintOf returns the fingerprint of a request: a hash of its idempotency key or,
// without one, of its contents.
func FingerprintOf(r Request) Fingerprint {
	hash := sha256.New()
	parts := []string{"contents", r.Service, r.Key, r.Method, r.Path, string(r.Body)}
	if r.IdempotencyKey != "" {
		parts = []string{"name", r.Service, r.Key, r.IdempotencyKey}
	}
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return errors.Newf("poison: fingerprint has %d characters, want 32", len(text))
	}
	_, err := hex.Decode(f[:], text)
	return errors.Wrap(err, "poison: decode fingerprint")
}

// Server is one incarnation of a backend server.
type Server struct {
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Record states that a request was in flight when a server crashed. Hosts exchange
// records; importing one again changes nothing.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Death is the server incarnation that crashed.
	Death Server `json:"death"`
	// Alone means that the request ran alone on the server: nothing else was in flight.
	Alone bool `json:"alone,omitempty"`
	// Cleared means that the request has finished on another server, since the crash or shortly before it.
	Cleared bool `json:"cleared,omitempty"`
	// Age is the time since the crash, on the clock of the host that sent the record.
	Age time.Duration `json:"age"`
}

// Suspicion is the degree to which the evidence makes a request a poison request.
type Suspicion int

// Degrees of suspicion.
const (
	// Clean requests run normally.
	Clean Suspicion = iota
	// Suspect requests run alone on their server.
	Suspect
	// Blocked requests count as poison and are rejected. String calls them "condemned".
	Blocked
)

// String returns the name of the suspicion.
func (s Suspicion) String() string {
	return [...]string{"clean", "suspect", "condemned"}[s]
}
