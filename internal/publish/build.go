package publish

import (
	"fmt"
	"slices"

	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// SettingsRecord returns the record that turns the state's tree into the given
// one, and the verdict that the record would get now. The tree was made from
// the version base, or from the version that its file names where base is zero;
// a file that names none was made from nothing. Nodes that have changed since
// are conflicts. The record is to be published only where the verdict accepts
// it. It has no nodes where the trees are equal.
func SettingsRecord(id record.ID, state *settings.State, tree *settings.Tree, base logservice.Offset, comment string) (record.Record, settings.Verdict) {
	if base == 0 {
		base = tree.BasedOn
	}
	change := state.Change(tree, comment)
	r := record.Record{ID: id, Kind: record.KindSettings, Settings: &change}
	if base > state.Version() {
		return r, aheadOfState(base, state.Version())
	}
	if conflicts := settings.ChangedSince(base, change); len(conflicts) > 0 {
		return r, settings.Verdict{Kind: settings.Conflicting, Conflicts: conflicts}
	}
	if len(change.Nodes) == 0 {
		return r, settings.Verdict{Kind: settings.Accepted}
	}
	return r, state.Clone().Apply(state.Version()+1, change)
}

func aheadOfState(base, version logservice.Offset) settings.Verdict {
	message := fmt.Sprintf("based on version %d, but the latest known version is %d", base, version)
	return settings.Verdict{Kind: settings.Invalid, Faults: settings.Faults{{Message: message}}}
}

// MarkRecord returns the record that sets a mark, based on the version of the subject's present one.
func MarkRecord(id record.ID, mark record.Mark, base logservice.Offset) record.Record {
	mark.Base = base
	return record.Record{ID: id, Kind: record.KindMark, Mark: &mark}
}

// CheckMark returns what is wrong with a mark, or "".
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
		return "the name is missing"
	}
	return ""
}

// CheckMarkName returns what is wrong with the name of a zone or backend server
// that the settings do not know, with the nearest known one, or "". Hosts are
// not in the settings; their names are not checked.
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
	return settings.UnknownName(string(subject), name, known)
}
