package timeline

// Filter selects events. An empty field selects all.
type Filter struct {
	Key     string
	Server  string
	Zone    string
	Service string
	// KeySlice is the slice that Key falls into, nil where it is not known.
	// With it, events of that slice of Service are selected with those of the key.
	KeySlice *int
}

// Select returns the events that the filter selects, in their order.
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
