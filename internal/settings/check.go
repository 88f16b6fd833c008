package settings

import (
	"fmt"
	"time"
)

// recoveryTarget is the time within which a key is to be served again after the loss of its owner.
const recoveryTarget = 2 * time.Second

// renewalsPerTTL is the number of renewals that must fit into a lead's or a
// lease's duration, so that one lost message ends neither.
const renewalsPerTTL = 3

// renewalsPerSilence is the number of renewals that must go unanswered before a server counts as silent.
const renewalsPerSilence = 2

// relation is a rule between several fields of the values in force at one node.
type relation struct {
	fields fieldSet
	// broken returns what is wrong, or "".
	broken func(v *Values) string
}

// relations lists the rules between fields. Like the ranges of the fields they
// are part of the fold: hosts with different rules would accept different records.
var relations = []relation{
	{mustFieldSet("server_silence", "lead_ttl", "lease_ttl", "drift_permille"), recoveryTooLong},
	{mustFieldSet("renew_every", "lead_ttl"), leadRenewedTooSeldom},
	{mustFieldSet("renew_every", "lease_ttl"), leaseRenewedTooSeldom},
	{mustFieldSet("renew_every", "server_silence"), silenceTooShort},
	{mustFieldSet("cold_start_slots", "slots"), coldStartAboveSlots},
	{mustFieldSet("connections", "slots"), connectionsBelowSlots},
	{mustFieldSet("hedge_after", "keyed"), hedgedWhileKeyed},
}

func recoveryTooLong(v *Values) string {
	total := v.ServerSilence + v.LeadTTL + v.LeaseTTL
	total += total * time.Duration(v.DriftPermille) / 1000
	if total < recoveryTarget {
		return ""
	}
	return fmt.Sprintf("server_silence, lead_ttl and lease_ttl with drift_permille add up to %s, which is not below %s", total, recoveryTarget)
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
	if renewalsPerSilence*v.RenewEvery <= v.ServerSilence {
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

func hedgedWhileKeyed(v *Values) string {
	if v.HedgeAfter == 0 || !v.Keyed {
		return ""
	}
	return "hedge_after is for services not divided by key"
}

// check returns every fault between the tree's fields and between its nodes.
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

func (t *Tree) has(path string) bool {
	_, present := t.nodes[path]
	return present
}

// checkRelations checks the rules that the node's own values take part in. The
// defaults keep all of them, so a rule is first broken at such a node.
func (t *Tree) checkRelations(path string) Faults {
	var faults Faults
	values := t.effective[path]
	own := t.nodes[path].set
	for _, r := range relations {
		if !r.fields.meets(own) {
			continue
		}
		if message := r.broken(&values); message != "" {
			faults = append(faults, Fault{Path: path, Field: firstField(own & r.fields), Message: message})
		}
	}
	return faults
}

// firstField returns the name of the first field in a set that is not empty.
func firstField(set fieldSet) string {
	for i := range fields {
		if set.has(i) {
			return fields[i].name
		}
	}
	return ""
}

// checkZonePlace reports a zone that lies in different places for different services.
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
	return Faults{{Path: path, Message: fmt.Sprintf("the zone %s lies in the place %s elsewhere in the tree", zone, other)}}
}

// checkServersOnce reports addresses that occur more than once in the tree.
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
