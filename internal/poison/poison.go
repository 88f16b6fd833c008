// Package poison finds requests that crash the backend servers that run them,
// and refuses them on every host.
//
// A request that was in flight when a server died is a suspect. A suspect that
// is sent again runs alone on its server: if it is innocent it finishes and is
// cleared, and if the server dies again nothing else can have been the cause. A
// request is refused for good after the set number of deaths of different
// server incarnations, at least one of them while it ran alone, or after one
// death more in any company.
//
// Memory holds the evidence and exchanges it with other hosts. Tracker follows
// the requests in flight of one host. Both are state machines without locks or
// clock; Guard makes them usable by concurrent requests.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request over all the times that it is sent.
type Fingerprint [16]byte

// Request holds what a fingerprint is made of.
type Request struct {
	Service string
	Key     string
	// IdempotencyKey is the caller's name of the request; empty where it gave none.
	IdempotencyKey string
	Method         string
	// Path is the path and the query.
	Path string
	Body []byte
}

// FingerprintOf returns the fingerprint of the caller's name of a request or,
// where it has none, of the request's contents.
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
		return errors.Newf("poison: fingerprint of %d characters", len(text))
	}
	_, err := hex.Decode(f[:], text)
	return errors.Wrap(err, "poison: fingerprint")
}

// Server is one incarnation of a backend server.
type Server struct {
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Record says that a request was in flight when a server died. Hosts exchange
// records; taking one in again changes nothing.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Death       Server      `json:"death"`
	// Alone says that nothing else was in flight.
	Alone bool `json:"alone,omitempty"`
	// Cleared says that the request has finished since on another server.
	Cleared bool `json:"cleared,omitempty"`
	// Age is the time since the death, on the clock of the host that sent the record.
	Age time.Duration `json:"age"`
}

// Suspicion is what the evidence says of a request.
type Suspicion int

// Degrees of suspicion.
const (
	// Clean requests run as usual.
	Clean Suspicion = iota
	// Suspect requests run alone on their server.
	Suspect
	// Condemned requests are refused for good.
	Condemned
)

// String returns the name of the degree.
func (s Suspicion) String() string {
	return [...]string{"clean", "suspect", "condemned"}[s]
}
