package timeline

// Filter selects events that match all of its fields. An empty field matches every
// event.
type Filter struct {
	Key     string
	Server  string
	Zone    string
	Service string
	// KeySlice is the slice that contains Key, nil if it is not known. If it is set,
	// events about that slice match as well as events about the key. Set Service too,
	// because slice numbers are unique only within a service.
	KeySlice *int
}

// Select returns the events that match the filter, in their given order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, event := range events {
		if f.matches(event) {
			selected = append(selected, event)
		}
	}
	return selected
}

func (f Filter) matches(event Event) bool {
	return f.matchesKey(event) &&
		(f.Server == "" || f.Server == event.Server) &&
		(f.Zone == "" || f.Zone == event.Zone) &&
		(f.Service == "" || f.Service == event.Service)
}

func (f Filter) matchesKey(event Event) bool {
	if f.Key == "" || f.Key == event.Key {
		return true
	}
	return f.KeySlice != nil && event.Slice != nil && *f.KeySlice == *event.Slice
}
