package judge

import (
	"slices"
	"time"
)

// Kind is the kind of a disturbance.
type Kind int

// Kinds of disturbances.
const (
	// HostFault is a kill, a SIGTERM, the time until the next start, or a freeze of a host.
	HostFault Kind = iota
	// StoreRejects is a time in which the store rejects calls of a host.
	StoreRejects
	// StoreLoses is a time in which the store loses responses to a host.
	StoreLoses
	// StoreDown is a time in which the store serves no host.
	StoreDown
	// LinkFault is a fault of the connections to a server.
	LinkFault
	// ServerFault is a time in which a server fails requests.
	ServerFault
)

// Disturbance is a fault that the run injected.
type Disturbance struct {
	Kind Kind
	// Target is the name of a host, or the ID of a server for LinkFault and ServerFault.
	Target string
	From   time.Time
	// To is zero if the fault lasted until the end of the run.
	To time.Time
}

func (d Disturbance) ofStore() bool {
	return d.Kind == StoreRejects || d.Kind == StoreLoses || d.Kind == StoreDown
}

// overlaps reports whether the disturbance took place at some moment of a span.
func (d Disturbance) overlaps(from, to time.Time) bool {
	return !d.From.After(to) && (d.To.IsZero() || !d.To.Before(from))
}

func (r *Record) disturbed(from, to time.Time, matches func(Disturbance) bool) bool {
	return slices.ContainsFunc(r.Disturbances, func(d Disturbance) bool {
		return d.overlaps(from.Add(-r.Bounds.Contact), to) && matches(d)
	})
}

// calm reports whether a host ran without a fault and reached the store in a span and for
// the contact time before it.
func (r *Record) calm(host string, from, to time.Time) bool {
	return !r.disturbed(from, to, func(d Disturbance) bool { return d.Kind != LinkFault && d.Kind != ServerFault && d.Target == host })
}

// inTouch reports whether a host was calm while the store was stable for all hosts.
func (r *Record) inTouch(host string, from, to time.Time) bool {
	return !r.disturbed(from, to, func(d Disturbance) bool {
		return d.ofStore() || d.Kind == HostFault && d.Target == host
	})
}

// storeStable reports whether the store served all hosts at a moment and for the contact
// time before it.
func (r *Record) storeStable(at time.Time) bool {
	return !r.disturbed(at, at, Disturbance.ofStore)
}

// configBound returns the time after which a host must apply a configuration, and false if
// the host or the store is excused.
func (r *Record) configBound(host string, from, to time.Time) (time.Duration, bool) {
	unbounded := func(d Disturbance) bool { return d.Kind == StoreLoses || d.Kind == StoreDown }
	if !r.calm(host, from, to) || r.disturbed(from, to, unbounded) {
		return 0, false
	}
	if r.inTouch(host, from, to) {
		return r.Bounds.Config, true
	}
	return r.Bounds.Config + r.Bounds.MaxSkew, true
}

// heldUp reports whether the connections to a server had a fault shortly before.
func (r *Record) heldUp(server string, at time.Time) bool {
	return r.disturbed(at, at, func(d Disturbance) bool { return d.Kind == LinkFault && d.Target == server })
}
