// Package judge decides from the records of a run whether the platform's rules were kept.
// It has no access to the processes: all excuses follow from the recorded disturbances.
package judge

import "time"

// Bounds are the bounds of the rules.
type Bounds struct {
	// Contact is the time without disturbance after which a host counts as in touch.
	Contact time.Duration
	// Config is the time after which an acknowledged configuration must be in force.
	Config time.Duration
	// MaxSkew extends Config while the store rejects some hosts.
	MaxSkew time.Duration
	// RollbackSlack is the time after an effect of a configuration from which on no older
	// one may apply in the same process.
	RollbackSlack time.Duration
	// Drain is the time after which a server that leaves must get no more requests.
	Drain time.Duration
	// RetryWindow, RetryRatio and RetrySlack bound the repeats at a service.
	RetryWindow            time.Duration
	RetryRatio, RetrySlack float64
	// PauseDelay is the time after a refusal with Retry-After from which on at most
	// MaxPaused requests of the host may reach the server until the stated end.
	PauseDelay time.Duration
	MaxPaused  int
	// DeadlineSlack is by how much the deadline that a server is given may exceed the
	// caller's.
	DeadlineSlack time.Duration
	// LimitWindow is the window in which a server may get LimitFactor times what the limit
	// that it has stated allows and LimitSlack more, of the processes that had passed a
	// statement on LimitDelay before.
	LimitWindow, LimitDelay time.Duration
	LimitFactor, LimitSlack float64
}

// Route has the properties of a route that no configuration changes.
type Route struct {
	// AtMostOnce is set if a request must not run twice.
	AtMostOnce bool
	// MaxServers is the number of servers at which a request may run.
	MaxServers int
	// First is set if every configuration has the route.
	First bool
}

// Attempt is one request of a caller.
type Attempt struct {
	ID, Host, Route, Key string
	// Life and EndLife number the process of the host that ran when the request was sent
	// and when it ended.
	Life, EndLife int
	Sent, Ended   time.Time
	// Status is 0 without a response.
	Status   int
	Complete bool
	Deadline time.Duration
}

// Arrival is a request that reached a server.
type Arrival struct {
	Attempt, Server, Service string
	At                       time.Time
	// Ran is false if the server rejected the request.
	Ran bool
	// Misdirected is set if the server was not the one that the host meant.
	Misdirected bool
	// Prefill is set for a call that only has the prompt read.
	Prefill bool
	// Deadline is negative if the request had none.
	Deadline time.Duration
}

// Version is a valid configuration that the store has acknowledged.
type Version struct {
	Number      int
	Sent, Acked time.Time
	// Services has the service of each route.
	Services map[string]string
	Keys     map[string]bool
}

// Departure is the acknowledgement that a server is draining or gone.
type Departure struct {
	Server string
	Acked  time.Time
}

// LeavingNotice is a response passed on by a host in which a server states that it is leaving.
type LeavingNotice struct {
	Host, Server string
	Life         int
	At           time.Time
}

// Refusal is a request that a server refused with Retry-After.
type Refusal struct {
	Attempt, Server string
	// Until is the end of the time that the server stated.
	At, Until time.Time
}

// InvalidConfig is an invalid configuration that another writer wrote.
type InvalidConfig struct {
	Kind string
	At   time.Time
}

// Record is what was observed of a run. Versions are in the order of their writing.
type Record struct {
	Bounds       Bounds
	Routes       map[string]Route
	Attempts     []Attempt
	Arrivals     []Arrival
	Versions     []Version
	Departures   []Departure
	Notices      []LeavingNotice
	Refusals     []Refusal
	Limits       []StatedLimit
	LimitNotices []LimitNotice
	Disturbances []Disturbance
	Invalid      []InvalidConfig
}

// attempts returns the attempts by their ID.
func (r *Record) attempts() map[string]*Attempt {
	byID := make(map[string]*Attempt, len(r.Attempts))
	for i := range r.Attempts {
		byID[r.Attempts[i].ID] = &r.Attempts[i]
	}
	return byID
}

// arrivals returns the arrivals of each attempt, in order.
func (r *Record) arrivals() map[string][]Arrival {
	byAttempt := map[string][]Arrival{}
	for _, a := range r.sortedArrivals() {
		byAttempt[a.Attempt] = append(byAttempt[a.Attempt], a)
	}
	return byAttempt
}
