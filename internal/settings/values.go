// Package settings holds the settings tree: the root, services, places and
// availability zones. A node inherits the values of its parent and overrides
// only those that differ.
//
// Operators write the tree as a TOML file; Parse reads and validates it. A
// change is published as a settings record in the log. Every host applies the
// records in log order to its State, which accepts or rejects each of them:
// a record based on an outdated version of a node is a conflict, a record with
// invalid contents or one that would make the tree invalid is rejected with its
// faults. All hosts use the same rules and therefore get the same tree.
//
// The package's callers are the view of the log, the administration API, the
// operators' command and every part of a host that reads settings in force.
package settings

import "time"

// Values are the settings in force at one node of the tree. Every field may be
// set at any level unless its comment says otherwise; in TOML a field has the
// name given here in snake case and durations are strings such as "150ms".
type Values struct {
	// Keyed says that the service's requests carry keys, and that each key is owned by one backend server at a time. Set on a service. Default false.
	Keyed bool
	// Slices is the number of slices of a keyed service's hash space, 1 to 65536. Set on a service; it cannot change once the service exists. Default 64.
	Slices int
	// ChecksEpochs says that the service's backend servers check epochs (fencing tokens) and leases. Set on a service. Default true.
	ChecksEpochs bool
	// Servers lists the backend servers' addresses, IP and port. Set on an availability zone. Default none.
	Servers []string
	// Slots is the number of requests that one backend server executes at a time. Default 4.
	Slots int
	// Connections is the largest number of connections to one backend server, summed over all hosts. Default 40.
	Connections int
	// QueueLimit is the largest number of requests that wait for one backend server's slots. Default 64.
	QueueLimit int
	// RequestTimeout is the time that a request may take if its caller sets no deadline. Default 5s.
	RequestTimeout time.Duration
	// LeadTTL is how long a lessor's consent to a primary lasts; the settings and the wire call the primary lead. Default 400ms.
	LeadTTL time.Duration
	// LeaseTTL is how long a backend server's lease lasts, counted from the clock reading that it is based on. Default 600ms.
	LeaseTTL time.Duration
	// RenewEvery is the time between two renewals of a lease, or of a lessor's consent. Default 120ms.
	RenewEvery time.Duration
	// ServerSilence is how long a backend server may leave renewals unanswered before its session is closed. Default 350ms.
	ServerSilence time.Duration
	// DriftPermille is the largest difference in rate between any two clocks, in thousandths. Default 10.
	DriftPermille int
	// ColdStartSlots is the number of slots of a backend server that has just started. Default 1.
	ColdStartSlots int
	// ColdStartTime is how long the slots of a backend server take to grow from ColdStartSlots to Slots after its start. Default 5s.
	ColdStartTime time.Duration
	// RetryPercent is the number of retries and hedges allowed for every hundred requests. Default 10.
	RetryPercent int
	// HedgeAfter is how long an idempotent request waits for an answer before it is also sent to a second server; zero disables hedging. Only for services that are not keyed. Default 0s.
	HedgeAfter time.Duration
	// IDRetention is how long the IDs of non-idempotent requests are kept, so that duplicates are detected. Default 10m.
	IDRetention time.Duration
	// PoisonDeaths is the number of backend server crashes during a request's execution after which the request is rejected. Default 2.
	PoisonDeaths int
	// PoisonRetention is how long the evidence that a request may crash servers is kept. Default 10m.
	PoisonRetention time.Duration
}

// Defaults returns the values in force where no node sets any.
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
