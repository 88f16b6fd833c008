package publish

import (
	"fmt"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// SettingsRecord returns the record that turns the state's tree into the given one,
// and the decision that applying it to the state would give. Publish the record only
// if the decision accepts it. The record has no nodes if the trees are equal.
//
// base is the version that the tree was derived from; if it is zero, the version
// that the tree's file names counts, and if that is zero too, the tree is based on no
// version. Nodes that differ and have changed since that version are conflicts.
func SettingsRecord(id record.ID, state *settings.State, tree *settings.Tree, base logservice.Offset, comment string) (record.Record, settings.Decision) {
	if base == 0 {
		base = tree.BasedOn
	}
	change := state.Change(tree, comment)
	r := record.Record{ID: id, Kind: record.KindSettings, Settings: &change}
	if base > state.Version() {
		return r, aheadOfState(base, state.Version())
	}
	if conflicts := settings.ChangedSince(base, change); len(conflicts) > 0 {
		return r, settings.Decision{Kind: settings.Conflicting, Conflicts: conflicts}
	}
	if len(change.Nodes) == 0 {
		return r, settings.Decision{Kind: settings.Accepted}
	}
	return r, state.Clone().Apply(state.Version()+1, change)
}

// aheadOfState returns the decision on a tree that is based on a version which the
// state does not have yet.
func aheadOfState(base, version logservice.Offset) settings.Decision {
	message := fmt.Sprintf("based on version %d, but the latest known version is %d", base, version)
	return settings.Decision{Kind: settings.Invalid, Faults: settings.Faults{{Message: message}}}
}

// MarkRecord returns the record that sets a mark. base is the version of the mark in
// force on the subject, zero if there is none.
func MarkRecord(id record.ID, mark record.Mark, base logservice.Offset) record.Record {
	mark.Base = base
	return record.Record{ID: id, Kind: record.KindMark, Mark: &mark}
}

// CheckMark returns a message that says what is wrong with a mark, "" if it is valid.
func CheckMark(subject record.Subject, name string, state record.MarkState) string {
	switch subject {
	case record.SubjectZone, record.SubjectHost, record.SubjectServer:
	default:
		return fmt.Sprintf("unknown subject %q; subjects are %q, %q and %q", subject, record.SubjectZone, record.SubjectHost, record.SubjectServer)
	}
	switch state {
	case record.MarkActive, record.MarkLeaving, record.MarkLost:
	default:
		return fmt.Sprintf("unknown state %q; states are %q, %q and %q", state, record.MarkActive, record.MarkLeaving, record.MarkLost)
	}
	if name == "" {
		return "the name of the zone, host or server is missing"
	}
	return ""
}

// CheckMarkName returns a message if the name of a zone or backend server does not
// occur in the settings; it suggests the most similar name that does. Otherwise it
// returns "". Names of hosts are not checked, because the settings do not list hosts.
func CheckMarkName(tree *settings.Tree, subject record.Subject, name string) string {
	var known []string
	switch subject {
	case record.SubjectZone:
		known = tree.Zones()
	case record.SubjectServer:
		known = tree.Servers()
	default:
		return ""
	}
	if slices.Contains(known, name) {
		return ""
	}
	return settings.UnknownNameMessage(string(subject), name, known)
}
