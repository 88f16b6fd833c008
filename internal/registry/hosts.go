package registry

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/poplarcroft/poplarcroft/internal/assign"
	"github.com/poplarcroft/poplarcroft/internal/follow"
)

// keyPrefix and a host's name are the key of the host's registration.
const keyPrefix = "host/"

// Key returns the key of a host's registration.
func Key(name string) string {
	return keyPrefix + name
}

// IsKey reports whether a record with the key is a registration.
func IsKey(key string) bool {
	return strings.HasPrefix(key, keyPrefix)
}

// encode encodes a registration as its record holds it.
func encode(host assign.Host) ([]byte, error) {
	value, err := json.Marshal(host)
	if err != nil {
		return nil, errors.NewAssertionErrorWithWrappedErrf(err, "encode host record")
	}
	return value, nil
}

// decode decodes the value of a registration's record.
func decode(value []byte) (assign.Host, error) {
	var host assign.Host
	if err := json.Unmarshal(value, &host); err != nil {
		return assign.Host{}, errors.Wrap(err, "host record")
	}
	return host, nil
}

// Hosts holds the registration of each host that was read last. The zero value holds none. It is safe for concurrent use.
type Hosts struct {
	mu    sync.Mutex
	byKey map[string]assign.Host
}

// Replacement says which registrations of a host a record has brought and replaced. A host without a name stands for none.
type Replacement struct {
	Former, Latter assign.Host
}

// Apply adds, replaces or removes the registration of a record. A malformed record is an error and changes nothing.
func (h *Hosts) Apply(record follow.Record) (Replacement, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	former := h.byKey[record.Key]
	if len(record.Value) == 0 {
		delete(h.byKey, record.Key)
		return Replacement{Former: former}, nil
	}
	host, err := decode(record.Value)
	if err != nil {
		return Replacement{}, err
	}
	if h.byKey == nil {
		h.byKey = make(map[string]assign.Host)
	}
	h.byKey[record.Key] = host
	return Replacement{former, host}, nil
}

// List returns the registered hosts in order of their names.
func (h *Hosts) List() []assign.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := make([]assign.Host, 0, len(h.byKey))
	for _, host := range h.byKey {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b assign.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}
