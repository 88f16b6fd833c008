package settings

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"github.com/cockroachdb/errors"
)

// level is a depth of the tree; it equals the number of names in a node's path.
type level int

// Levels of the tree, from the root down.
const (
	levelRoot level = iota
	levelService
	levelPlace
	levelZone
)

// anyLevel marks a field that may be set at every level.
const anyLevel level = -1

// maxServersPerZone is the largest number of backend servers of one service in one zone.
const maxServersPerZone = 16_384

// nearestNameMaxDistance is the largest edit distance at which a known name is
// suggested in place of an unknown one.
const nearestNameMaxDistance = 3

// field describes one field of Values and its form in TOML.
type field struct {
	name  string
	level level // the level at which the field may be set, or anyLevel
	// set checks a value as the TOML parser returned it and stores it in v.
	set func(v *Values, raw scalar) error
	// copy copies the field from src to dst.
	copy func(dst, src *Values)
	// format returns the field's value as TOML.
	format func(v *Values) string
}

// scalar is a parsed TOML value: a bool, an int64, a string or a []string.
type scalar any

// fields lists the fields of Values with their ranges, in the order in which they
// are printed.
var fields = []field{
	boolField("keyed", levelService, func(v *Values) *bool { return &v.Keyed }),
	intField("slices", levelService, 1, 65536, func(v *Values) *int { return &v.Slices }),
	boolField("checks_epochs", levelService, func(v *Values) *bool { return &v.ChecksEpochs }),
	serversField(),
	intField("slots", anyLevel, 1, 10_000, func(v *Values) *int { return &v.Slots }),
	intField("connections", anyLevel, 1, 100_000, func(v *Values) *int { return &v.Connections }),
	intField("queue_limit", anyLevel, 0, 100_000, func(v *Values) *int { return &v.QueueLimit }),
	durationField("request_timeout", anyLevel, 10*time.Millisecond, 10*time.Minute, func(v *Values) *time.Duration { return &v.RequestTimeout }),
	durationField("lead_ttl", anyLevel, 20*time.Millisecond, 2*time.Second, func(v *Values) *time.Duration { return &v.LeadTTL }),
	durationField("lease_ttl", anyLevel, 20*time.Millisecond, 2*time.Second, func(v *Values) *time.Duration { return &v.LeaseTTL }),
	durationField("renew_every", anyLevel, 5*time.Millisecond, time.Second, func(v *Values) *time.Duration { return &v.RenewEvery }),
	durationField("server_silence", anyLevel, 10*time.Millisecond, 2*time.Second, func(v *Values) *time.Duration { return &v.ServerSilence }),
	intField("drift_permille", anyLevel, 1, 200, func(v *Values) *int { return &v.DriftPermille }),
	intField("cold_start_slots", anyLevel, 1, 10_000, func(v *Values) *int { return &v.ColdStartSlots }),
	durationField("cold_start_time", anyLevel, 0, time.Hour, func(v *Values) *time.Duration { return &v.ColdStartTime }),
	intField("retry_percent", anyLevel, 0, 100, func(v *Values) *int { return &v.RetryPercent }),
	durationField("hedge_after", anyLevel, 0, time.Minute, func(v *Values) *time.Duration { return &v.HedgeAfter }),
	durationField("id_retention", anyLevel, time.Second, 24*time.Hour, func(v *Values) *time.Duration { return &v.IDRetention }),
	intField("poison_deaths", anyLevel, 1, 100, func(v *Values) *int { return &v.PoisonDeaths }),
	durationField("poison_retention", anyLevel, time.Second, 24*time.Hour, func(v *Values) *time.Duration { return &v.PoisonRetention }),
}

// fieldIndex returns the index in fields of the field with the given name, and
// whether there is one.
func fieldIndex(name string) (int, bool) {
	for i := range fields {
		if fields[i].name == name {
			return i, true
		}
	}
	return 0, false
}

// mustFieldSet returns the set of the named fields. It panics on an unknown name.
func mustFieldSet(names ...string) fieldSet {
	var set fieldSet
	for _, name := range names {
		i, known := fieldIndex(name)
		if !known {
			panic("settings: unknown field " + name)
		}
		set = set.with(i)
	}
	return set
}

// fieldSet is a set of indexes in fields, one bit each.
type fieldSet uint64

func (s fieldSet) has(i int) bool             { return s&(1<<i) != 0 }
func (s fieldSet) with(i int) fieldSet        { return s | 1<<i }
func (s fieldSet) intersects(t fieldSet) bool { return s&t != 0 }

// allows reports whether a field of level fieldAt may be set at a node of level l.
func (l level) allows(fieldAt level) bool { return fieldAt == anyLevel || fieldAt == l }
func boolText(v bool) string              { return strconv.FormatBool(v) }
func durationText(d time.Duration) string { return strconv.Quote(d.String()) }
func wrongType(expected string, got any) error {
	return errors.Newf("expected %s, got %s", expected, typeName(got))
}

// String returns the level's name.
func (l level) String() string {
	switch l {
	case levelRoot:
		return "the root"
	case levelService:
		return "a service"
	case levelPlace:
		return "a place"
	case levelZone:
		return "an availability zone"
	}
	return "any level"
}

// typeName returns the name of a TOML value's type in words.
func typeName(raw any) string {
	switch raw.(type) {
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case string:
		return "a string"
	case []string:
		return "a list"
	}
	return "this"
}

// boolField describes a bool field that may be set at the given level. ref returns a
// pointer to the field.
func boolField(name string, at level, ref func(*Values) *bool) field {
	return field{
		name:  name,
		level: at,
		set: func(v *Values, raw scalar) error {
			value, ok := raw.(bool)
			if !ok {
				return wrongType("a boolean", raw)
			}
			*ref(v) = value
			return nil
		},
		copy:   func(dst, src *Values) { *ref(dst) = *ref(src) },
		format: func(v *Values) string { return boolText(*ref(v)) },
	}
}

// intField describes an int field with values from low to high.
func intField(name string, at level, low, high int64, ref func(*Values) *int) field {
	return field{
		name:  name,
		level: at,
		set: func(v *Values, raw scalar) error {
			value, ok := raw.(int64)
			if !ok {
				return wrongType("an integer", raw)
			}
			if value < low || value > high {
				return errors.Newf("%d is outside of %d to %d", value, low, high)
			}
			*ref(v) = int(value)
			return nil
		},
		copy:   func(dst, src *Values) { *ref(dst) = *ref(src) },
		format: func(v *Values) string { return strconv.Itoa(*ref(v)) },
	}
}

// durationField describes a duration field with values from low to high.
func durationField(name string, at level, low, high time.Duration, ref func(*Values) *time.Duration) field {
	return field{
		name:  name,
		level: at,
		set: func(v *Values, raw scalar) error {
			text, ok := raw.(string)
			if !ok {
				return wrongType(`a duration such as "150ms"`, raw)
			}
			value, err := time.ParseDuration(text)
			if err != nil {
				return errors.Newf("%q is not a duration such as \"150ms\"", text)
			}
			if value < low || value > high {
				return errors.Newf("%s is outside of %s to %s", value, low, high)
			}
			*ref(v) = value
			return nil
		},
		copy:   func(dst, src *Values) { *ref(dst) = *ref(src) },
		format: func(v *Values) string { return durationText(*ref(v)) },
	}
}

// serversField describes the list of a zone's backend servers.
func serversField() field {
	return field{
		name:  "servers",
		level: levelZone,
		set: func(v *Values, raw scalar) error {
			list, ok := raw.([]string)
			if !ok {
				return wrongType("a list of strings", raw)
			}
			if len(list) > maxServersPerZone {
				return errors.Newf("%d addresses are more than the limit of %d", len(list), maxServersPerZone)
			}
			v.Servers = list
			return checkServerAddresses(list)
		},
		copy:   func(dst, src *Values) { dst.Servers = src.Servers },
		format: func(v *Values) string { return listText(v.Servers) },
	}
}

// listText returns a list of strings as TOML.
func listText(list []string) string {
	quoted := make([]string, len(list))
	for i, item := range list {
		quoted[i] = strconv.Quote(item)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// checkServerAddresses returns one error that names every invalid address.
func checkServerAddresses(list []string) error {
	var problems []string
	for _, address := range list {
		if err := checkServerAddress(address); err != nil {
			problems = append(problems, err.Error())
		}
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

// checkServerAddress returns an error if the address is not an IP address and a
// non-zero port in canonical form. One form per address makes addresses comparable
// as strings.
func checkServerAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return errors.Newf("%q is not an IP address and port such as \"10.0.0.1:8080\"", address)
	}
	if parsed.String() != address {
		return errors.Newf("%q must be written as %q", address, parsed)
	}
	return nil
}

// nearestName returns the known name with the smallest edit distance to the given
// one, "" if all are further away than nearestNameMaxDistance.
func nearestName(name string, known []string) string {
	best, bestDistance := "", math.MaxInt
	for _, candidate := range known {
		distance := levenshtein.Distance(name, candidate, nil)
		if distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	if bestDistance > nearestNameMaxDistance {
		return ""
	}
	return best
}

// UnknownNameMessage returns the message for an unknown name. It suggests the most
// similar known name if there is one.
func UnknownNameMessage(what, name string, known []string) string {
	message := "unknown " + what + " " + strconv.Quote(name)
	if nearest := nearestName(name, known); nearest != "" {
		message += "; did you mean " + strconv.Quote(nearest) + "?"
	}
	return message
}

// fieldNames returns the names of the fields that may be set at a level.
func fieldNames(at level) []string {
	var names []string
	for i := range fields {
		if at.allows(fields[i].level) {
			names = append(names, fields[i].name)
		}
	}
	return names
}
