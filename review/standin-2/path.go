package main

import (
	"fmt"
	"strings"
)

// sample is a request whose path holds a character that should not stand there unescaped, as clients that nobody controls send them.
type sample struct {
	method, path string
	// service is the one to which the configuration lets the request go by its path as sent.
	service string
}

// path sends requests on new connections, one after the other. A machine may refuse them. If a target runs one, it must be a target of
// the service that the path as sent leads to, and it must get what was sent.
func path(w *world) bool {
	w.startDeployment()
	samples := []sample{{"POST", signPrefix + "hala-7", "revize"}, {"POST", signPrefix + "hala-8%2Fvalve-2", "revize"}, {"GET", plainPrefix + "hala%2F9", "archiv"}}
	if w.trouble {
		samples = []sample{
			{"POST", signPrefix + "hala-7#valve-2", "revize"},
			{"POST", signPrefix + "hala-8|valve-2", "revize"},
			{"POST", signPrefix + `hala-"9"`, "revize"},
			{"POST", signPrefix + "hala-10%2Fvalve|2", "revize"},
			{"GET", plainPrefix + "hala%2F11|12", "archiv"},
		}
	}
	broken := false
	for i, s := range samples {
		id := fmt.Sprintf("sample-%d", i)
		sent := s.method + " " + s.path
		a := send(w.hosts[i%hostCount].front, s.method, s.path, id, 100*i)
		ran := ranAs(w.targets, id)
		w.record.line("sent %q as %s: %v; targets of revize and archiv ran: %q", sent, id, a, strings.Join(ran, ", "))
		for _, line := range ran {
			ok := line == s.service+" "+sent
			broken = broken || !ok
			if !ok {
				w.record.line("%s: %q was run, %q was sent", id, line, s.service+" "+sent)
			}
		}
	}
	return broken
}
