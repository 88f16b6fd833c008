package host

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/admin/overview"
	"github.com/poplarcroft/poplarcroft/internal/logservice"
	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
	"github.com/poplarcroft/poplarcroft/internal/settings"
	"github.com/poplarcroft/poplarcroft/internal/timeline"
)

// anonymous is the identity of every user if no operators are configured: it may only read.
var anonymous = admin.AllowAll{Name: "anonymous", Role: admin.RoleViewer}

// adminHandler returns the handler of the administration API.
func (h *Host) adminHandler() http.Handler {
	var operators admin.Authenticator = anonymous
	if h.config.Operators != nil {
		operators = h.config.Operators
	}
	return admin.NewHandler(overview.New(h.sources()), operators)
}

// adminListener returns the listener for operators, with TLS if it is configured.
func (h *Host) adminListener() net.Listener {
	if h.config.AdminTLS == nil {
		return h.listeners.admin
	}
	return tls.NewListener(h.listeners.admin, h.config.AdminTLS)
}

// sources returns the state that the administration API shows and changes.
func (h *Host) sources() overview.Sources {
	return overview.Sources{
		Host:      h.config.Name,
		View:      h.view,
		Log:       h.platform,
		Publisher: publish.NewWithView(h.view, h.platform, h.config.Name, time.Now),
		Events:    h.events,
		Members:   h.members.All,
		Primary:   h.primaryOf,
		Load:      h.serverLoads,
		Now:       time.Now,
	}
}

// primaryOf returns the name of the primary host of a session, "" if this host does not know it.
func (h *Host) primaryOf(id record.SessionID) string {
	h.mu.RLock()
	k := h.keepers[id]
	h.mu.RUnlock()
	if k == nil {
		return ""
	}
	primary, _ := k.Primary()
	return primary
}

// operatorEventLoop records events for the settings and marks that come into force on this host.
func (h *Host) operatorEventLoop(ctx context.Context) {
	recorded := h.view.Applied()
	for {
		changed := h.view.Changed()
		recorded = h.recordOperatorChanges(recorded)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// recordOperatorChanges records an event for the settings and for each mark whose version
// is above the offset, and returns the offset that this host has applied.
func (h *Host) recordOperatorChanges(after logservice.Offset) logservice.Offset {
	var applied logservice.Offset
	var events []timeline.Event
	h.view.Read(func(state *settings.State, table *ownership.Table) {
		applied = table.Applied()
		if state.Version() > after {
			events = append(events, timeline.Event{
				Kind:   timeline.KindSettingsInForce,
				Offset: applied,
				Zone:   h.config.Zone,
				Detail: fmt.Sprintf("version %d", state.Version()),
			})
		}
		for key, mark := range table.Marks() {
			if mark.Version > after {
				events = append(events, markEvent(key, mark, applied))
			}
		}
	})
	for _, event := range events {
		h.events.Record(event)
		h.logger.Info(string(event.Kind), "host", h.config.Name, "detail", event.Detail)
	}
	return applied
}

// markEvent returns the event of a mark that has come into force. It names the marked
// zone or server, so that the time line can be filtered by it.
func markEvent(key ownership.MarkKey, mark ownership.Mark, applied logservice.Offset) timeline.Event {
	event := timeline.Event{
		Kind:   timeline.KindMarkInForce,
		Offset: applied,
		Detail: fmt.Sprintf("%s %s %s, version %d", key.Subject, key.Name, mark.State, mark.Version),
	}
	switch key.Subject {
	case record.SubjectZone:
		event.Zone = key.Name
	case record.SubjectServer:
		event.Server = key.Name
	}
	return event
}
