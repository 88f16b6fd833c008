package settings

import (
	"fmt"
	"time"
)

// recoveryTarget is the time within which a key must be served again after the
// failure of the server that owned it.
const recoveryTarget = 2 * time.Second

// renewalsPerTTL is the number of renewals that must fit into lead_ttl and into
// lease_ttl, so that one lost message ends neither the consent nor the lease.
const renewalsPerTTL = 3

// renewalsPerServerSilence is the number of renewals that must go unanswered before
// a server counts as unresponsive.
const renewalsPerServerSilence = 2

// relation is a rule between several fields of the values in force at one node.
type relation struct {
	fields fieldSet
	// violation says how the values break the rule, "" if they keep it.
	violation func(v *Values) string
}

// relations lists the rules between fields. These rules, like the allowed ranges
// of the fields, decide which records are accepted: hosts with different rules
// would apply different records and disagree about the settings.
var relations = []relation{
	{mustFieldSet("server_silence", "lead_ttl", "lease_ttl", "drift_permille"), recoveryTooLong},
	{mustFieldSet("renew_every", "lead_ttl"), leadRenewedTooSeldom},
	{mustFieldSet("renew_every", "lease_ttl"), leaseRenewedTooSeldom},
	{mustFieldSet("renew_every", "server_silence"), silenceTooShort},
	{mustFieldSet("cold_start_slots", "slots"), coldStartAboveSlots},
	{mustFieldSet("connections", "slots"), connectionsBelowSlots},
	{mustFieldSet("hedge_after", "keyed"), hedgedWhileKeyed},
}

// recoveryTooLong checks that the time to detect an unresponsive server and to wait
// until its consents and lease have expired, lengthened by the clock drift, stays
// below recoveryTarget.
func recoveryTooLong(v *Values) string {
	total := v.ServerSilence + v.LeadTTL + v.LeaseTTL
	total += total * time.Duration(v.DriftPermille) / 1000
	if total < recoveryTarget {
		return ""
	}
	return fmt.Sprintf("server_silence, lead_ttl and lease_ttl with drift_permille add up to %s; must be below %s", total, recoveryTarget)
}

func leadRenewedTooSeldom(v *Values) string {
	if renewalsPerTTL*v.RenewEvery <= v.LeadTTL {
		return ""
	}
	return fmt.Sprintf("renew_every %s is more than a third of lead_ttl %s", v.RenewEvery, v.LeadTTL)
}

func leaseRenewedTooSeldom(v *Values) string {
	if renewalsPerTTL*v.RenewEvery <= v.LeaseTTL {
		return ""
	}
	return fmt.Sprintf("renew_every %s is more than a third of lease_ttl %s", v.RenewEvery, v.LeaseTTL)
}

func silenceTooShort(v *Values) string {
	if renewalsPerServerSilence*v.RenewEvery <= v.ServerSilence {
		return ""
	}
	return fmt.Sprintf("renew_every %s is more than half of server_silence %s", v.RenewEvery, v.ServerSilence)
}

func coldStartAboveSlots(v *Values) string {
	if v.ColdStartSlots <= v.Slots {
		return ""
	}
	return fmt.Sprintf("cold_start_slots %d is more than slots %d", v.ColdStartSlots, v.Slots)
}

func connectionsBelowSlots(v *Values) string {
	if v.Connections >= v.Slots {
		return ""
	}
	return fmt.Sprintf("connections %d is less than slots %d", v.Connections, v.Slots)
}

// hedgedWhileKeyed checks that a keyed service does not hedge: a key has one owner, so
// there is no second server to send its requests to.
func hedgedWhileKeyed(v *Values) string {
	if v.HedgeAfter == 0 || !v.Keyed {
		return ""
	}
	return "hedge_after is for services not divided by key"
}

// check returns every violation of a rule between fields or between nodes of the tree.
func (t *Tree) check() Faults {
	var faults Faults
	servers := make(map[string]string)
	places := make(map[string]string)
	for _, path := range t.Paths() {
		if path != Root && !t.has(parentPath(path)) {
			faults = append(faults, Fault{Path: path, Message: "the parent " + DisplayPath(parentPath(path)) + " does not exist"})
			continue
		}
		faults = append(faults, t.checkRelations(path)...)
		if pathLevel(path) != levelZone {
			continue
		}
		faults = append(faults, checkZonePlace(path, places)...)
		faults = append(faults, checkServersOnce(path, t.effective[path].Servers, servers)...)
	}
	return faults
}

// has reports whether the tree has a node at path.
func (t *Tree) has(path string) bool {
	_, present := t.nodes[path]
	return present
}

// checkRelations checks the rules that involve a field which the node sets itself.
// The other rules need no check: the defaults keep all rules, so a rule can only
// be broken first at a node that sets one of its fields.
func (t *Tree) checkRelations(path string) Faults {
	var faults Faults
	values := t.effective[path]
	own := t.nodes[path].set
	for _, r := range relations {
		if !r.fields.intersects(own) {
			continue
		}
		if message := r.violation(&values); message != "" {
			faults = append(faults, Fault{Path: path, Field: firstField(own & r.fields), Message: message})
		}
	}
	return faults
}

// firstField returns the name of the first field in the set, "" if the set is empty.
func firstField(set fieldSet) string {
	for i := range fields {
		if set.has(i) {
			return fields[i].name
		}
	}
	return ""
}

// checkZonePlace reports a zone that lies in another place than the services checked
// before put it in. places holds the place of every zone seen so far; the zone is added.
func checkZonePlace(path string, places map[string]string) Faults {
	names := splitPath(path)
	place, zone := names[1], names[2]
	other, seen := places[zone]
	if !seen {
		places[zone] = place
		return nil
	}
	if other == place {
		return nil
	}
	return Faults{{Path: path, Message: fmt.Sprintf("the zone %s lies in the place %s elsewhere in the tree; a zone has one place", zone, other)}}
}

// checkServersOnce reports addresses that the tree lists more than once. seen holds
// the path of every address seen so far; the new ones are added.
func checkServersOnce(path string, addresses []string, seen map[string]string) Faults {
	var faults Faults
	for _, address := range addresses {
		other, twice := seen[address]
		if !twice {
			seen[address] = path
			continue
		}
		faults = append(faults, Fault{Path: path, Field: "servers", Message: fmt.Sprintf("%s is listed in %s already", address, other)})
	}
	return faults
}
