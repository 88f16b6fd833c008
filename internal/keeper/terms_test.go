package keeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/poplarcroft/poplarcroft/internal/ownership"
	"github.com/poplarcroft/poplarcroft/internal/settings"
)

// TestPublishedSettingsDoNotChangeOpenSessions checks that a session keeps the lease
// durations with which it was opened if the settings change between the starts of
// two of its lessors. A session without terms has the default durations.
func TestPublishedSettingsDoNotChangeOpenSessions(t *testing.T) {
	opened := settings.Defaults()
	opened.LeadTTL = 500 * time.Millisecond
	session := &ownership.Session{ID: 1, Version: 1, Terms: TermsOf(opened)}
	changed := settings.Defaults()
	changed.LeadTTL = 2 * time.Second
	changed.LeaseTTL = 3 * time.Second
	k := New(Deps{Host: "h0"}, session, changed, nil)
	assert.Equal(t, k.values.LeadTTL, opened.LeadTTL)
	assert.Equal(t, k.values.LeaseTTL, opened.LeaseTTL)

	session.Terms = TermsOf(settings.Values{})
	k = New(Deps{Host: "h0"}, session, changed, nil)
	assert.Equal(t, k.values.LeadTTL, settings.Defaults().LeadTTL)
}
