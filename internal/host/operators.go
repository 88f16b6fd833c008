package host

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/poplarcroft/poplarcroft/internal/admin"
	"github.com/poplarcroft/poplarcroft/internal/admin/overview"
	"github.com/poplarcroft/poplarcroft/internal/publish"
	"github.com/poplarcroft/poplarcroft/internal/record"
)

// anonymous is every operator of a host that knows none: it may only read.
var anonymous = admin.Everybody{Name: "anonymous", Role: admin.RoleViewer}

// adminHandler serves operators.
func (h *Host) adminHandler() http.Handler {
	var operators admin.Authenticator = anonymous
	if h.config.Operators != nil {
		operators = h.config.Operators
	}
	return admin.NewHandler(overview.New(h.sources()), operators)
}

// adminListener returns the listener for operators, with TLS where it is configured.
func (h *Host) adminListener() net.Listener {
	if h.config.AdminTLS == nil {
		return h.listeners.admin
	}
	return tls.NewListener(h.listeners.admin, h.config.AdminTLS)
}

// sources are what the administration API shows and changes.
func (h *Host) sources() overview.Sources {
	return overview.Sources{
		Host:      h.config.Name,
		View:      h.view,
		Log:       h.platform,
		Publisher: publish.Following(h.view, h.platform, h.config.Name, time.Now),
		Events:    h.events,
		Members:   h.members.All,
		Lead:      h.leadOf,
		Load:      func() []admin.ServerLoad { return []admin.ServerLoad{} },
		Now:       time.Now,
	}
}

// leadOf returns the host that leads a session, "" where this host does not know it.
func (h *Host) leadOf(id record.SessionID) string {
	h.mu.RLock()
	k := h.keepers[id]
	h.mu.RUnlock()
	if k == nil {
		return ""
	}
	lead, _ := k.Lead()
	return lead
}
