// Package settings holds the tree of settings: the root, services, places and
// availability zones. Children inherit from their parents and override only
// what differs.
package settings

import "time"

// Values are the settings in force at one node of the tree. Every field may be
// set at any level unless its comment says otherwise; in TOML a field has the
// name given here in snake case and durations are strings such as "150ms".
type Values struct {
	// Keyed says that the service is divided by key and that each key has one owner. Set on a service. Default false.
	Keyed bool
	// Slices is the number of slices of a keyed service's hash space, 1 to 65536. Set on a service; it cannot change later. Default 64.
	Slices int
	// ChecksEpochs says that the service's backend servers check epochs and leases. Set on a service. Default true.
	ChecksEpochs bool
	// Servers lists the backend servers' addresses, IP and port. Set on an availability zone. Default none.
	Servers []string
	// Slots is the number of requests that one backend server executes at a time. Default 4.
	Slots int
	// Connections is the largest number of connections to one backend server over all hosts. Default 40.
	Connections int
	// QueueLimit is the largest number of requests that wait for one backend server's slots. Default 64.
	QueueLimit int
	// RequestTimeout is the time a request may take where its caller sets none. Default 5s.
	RequestTimeout time.Duration
	// LeadTTL is how long a lessor's consent lasts. Default 400ms.
	LeadTTL time.Duration
	// LeaseTTL is how long a backend server's lease lasts after the clock reading that it is based on. Default 600ms.
	LeaseTTL time.Duration
	// RenewEvery is the time between two renewals of a lease or of a lead. Default 120ms.
	RenewEvery time.Duration
	// ServerSilence is how long a backend server may leave renewals unanswered before its session is closed. Default 350ms.
	ServerSilence time.Duration
	// DriftPermille bounds the difference in rate of any two clocks, in thousandths. Default 10.
	DriftPermille int
	// ColdStartSlots is the number of slots that a backend server gets when it has just started. Default 1.
	ColdStartSlots int
	// ColdStartTime is how long a started backend server takes to reach all its slots. Default 5s.
	ColdStartTime time.Duration
	// RetryPercent is the number of retries and hedges allowed for every hundred requests. Default 10.
	RetryPercent int
	// HedgeAfter is how long an idempotent request waits before it is sent to a second server; zero never. Only for services not divided by key. Default 0s.
	HedgeAfter time.Duration
	// IDRetention is how long the IDs of non-idempotent requests are remembered. Default 10m.
	IDRetention time.Duration
	// PoisonDeaths is the number of server deaths with a request in flight after which it is refused. Default 2.
	PoisonDeaths int
	// PoisonRetention is how long a request's suspicion is remembered. Default 10m.
	PoisonRetention time.Duration
}

// Defaults returns the values at the root of a tree that sets none.
func Defaults() Values {
	return Values{
		Slices:          64,
		ChecksEpochs:    true,
		Slots:           4,
		Connections:     40,
		QueueLimit:      64,
		RequestTimeout:  5 * time.Second,
		LeadTTL:         400 * time.Millisecond,
		LeaseTTL:        600 * time.Millisecond,
		RenewEvery:      120 * time.Millisecond,
		ServerSilence:   350 * time.Millisecond,
		DriftPermille:   10,
		ColdStartSlots:  1,
		ColdStartTime:   5 * time.Second,
		RetryPercent:    10,
		IDRetention:     10 * time.Minute,
		PoisonDeaths:    2,
		PoisonRetention: 10 * time.Minute,
	}
}
