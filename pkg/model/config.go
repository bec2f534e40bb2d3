package model

import "time"

// Organisation is a customer with a request rate limit that applies to all hosts
// together.
type Organisation struct {
	ID   OrganisationID `json:"id"`
	Name string         `json:"name,omitempty"`
	// Rate in work units per second. One unit is one plain service request or
	// one model request of average size; see WorkUnits.
	Rate float64 `json:"rate"`
	// Burst in work units.
	Burst float64 `json:"burst"`
	// Weight in fair sharing between organisations. 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxStreams bounds the organisation's open streams on one host. 0 means no limit.
	MaxStreams int `json:"max_streams,omitempty"`
}

// Key is a caller key. Only its SHA-256 digest is stored.
type Key struct {
	ID           KeyID          `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	// Digest is the hexadecimal SHA-256 digest of the key.
	Digest string `json:"digest"`
	// Revoked keys are kept so that operators can look up their revocation later.
	Revoked bool `json:"revoked,omitempty"`
}

// Hours is one opening interval of a shop, in the shop's time zone.
type Hours struct {
	Day time.Weekday `json:"day"`
	// OpenMinute and CloseMinute count minutes from midnight. An interval with
	// CloseMinute <= OpenMinute ends on the next day.
	OpenMinute  int `json:"open_minute"`
	CloseMinute int `json:"close_minute"`
}

// Shop is a shop of an organisation.
type Shop struct {
	ID           ShopID         `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	// TimeZone is an IANA name. Empty means UTC.
	TimeZone string `json:"time_zone,omitempty"`
	// Hours are the opening intervals. Without entries the shop is always open.
	Hours []Hours `json:"hours,omitempty"`
}

// Offer lets a shop use a model, with an optional adapter and version.
type Offer struct {
	ID      string   `json:"id"`
	Shop    ShopID   `json:"shop"`
	Model   PoolName `json:"model"`
	Adapter string   `json:"adapter,omitempty"`
	// Version of the model. Empty means the version that the pool serves.
	Version string `json:"version,omitempty"`
}

// RouteKind is the kind of backend server that serves a route.
type RouteKind string

// Kinds of routes.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
)

// Route maps a path prefix to a pool of backend servers.
type Route struct {
	ID RouteID `json:"id"`
	// PathPrefix is matched by longest prefix.
	PathPrefix string    `json:"path_prefix"`
	Kind       RouteKind `json:"kind"`
	// Pool is the plain service of a service route. Model routes take the model
	// from the request body.
	Pool PoolName `json:"pool,omitempty"`
	// Public routes accept calls without a key; such calls belong to no organisation.
	Public bool `json:"public,omitempty"`
	// Idempotent calls may be retried. GET and HEAD always count as idempotent.
	Idempotent bool `json:"idempotent,omitempty"`
}

// PoolKind is the kind of backend server in a pool.
type PoolKind string

// Kinds of pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool describes the backend servers of one model or plain service.
type Pool struct {
	Name PoolName `json:"name"`
	Kind PoolKind `json:"kind"`
	// ChecksFencing is true if the engines refuse orders with an outdated fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Minimum and Maximum bound the number of backend servers per region.
	Minimum int `json:"minimum,omitempty"`
	Maximum int `json:"maximum,omitempty"`
	// PreemptibleShare is the largest share of preemptible backend servers, 0 to 1.
	PreemptibleShare float64 `json:"preemptible_share,omitempty"`
}

// Drain stops new requests from being routed to a backend server.
type Drain struct {
	Backend BackendID `json:"backend"`
	Reason  string    `json:"reason,omitempty"`
	// Purpose is the change that follows the drain. A drain without one lasts
	// until an operator ends it.
	Purpose *DrainPurpose `json:"purpose,omitempty"`
}

// Kinds of purposes of a drain.
const (
	DrainForRelease = "release"
	DrainForRole    = "role"
	DrainForModel   = "model"
)

// DrainPurpose is the change for which a backend server is drained.
type DrainPurpose struct {
	// Kind is DrainForRelease, DrainForRole or DrainForModel.
	Kind    string `json:"kind"`
	Role    string `json:"role,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// IsOpen reports whether the shop is open at t, and if not, when it opens next.
// The second result is zero when the shop is open at t or has no later opening.
func (s *Shop) IsOpen(t time.Time) (bool, time.Time, error) {
	if len(s.Hours) == 0 {
		return true, time.Time{}, nil
	}
	zone := time.UTC
	if s.TimeZone != "" {
		z, err := time.LoadLocation(s.TimeZone)
		if err != nil {
			return false, time.Time{}, err
		}
		zone = z
	}
	local := t.In(zone)
	var next time.Time
	// An interval may start on the day before and end today.
	for ahead := -1; ahead <= 7; ahead++ {
		midnight := time.Date(local.Year(), local.Month(), local.Day()+ahead, 0, 0, 0, 0, zone)
		for _, h := range s.Hours {
			if h.Day != midnight.Weekday() {
				continue
			}
			opens, closes := h.intervalOn(midnight)
			if !t.Before(opens) && t.Before(closes) {
				return true, time.Time{}, nil
			}
			if opens.After(t) && (next.IsZero() || opens.Before(next)) {
				next = opens
			}
		}
	}
	return false, next, nil
}

// intervalOn returns the start and end of the interval that begins on the given day.
func (h Hours) intervalOn(midnight time.Time) (opens, closes time.Time) {
	at := func(minute int) time.Time {
		return time.Date(midnight.Year(), midnight.Month(), midnight.Day(), 0, minute, 0, 0, midnight.Location())
	}
	closeMinute := h.CloseMinute
	if closeMinute <= h.OpenMinute {
		closeMinute += 24 * 60
	}
	return at(h.OpenMinute), at(closeMinute)
}
