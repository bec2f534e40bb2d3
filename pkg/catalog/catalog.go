// Package catalog holds the configuration in force on hosts that forward opaque
// requests: routes, services, organisations and their keys.
package catalog

import (
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Kind tells what may be repeated.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of numbered events.
	Streaming
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Route sends the requests of a host name and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to a response, or to its first event, that counts
	// as on time.
	Objective time.Duration
	// Gap is the longest pause between events that counts as on time.
	Gap time.Duration
	// Priority ranks routes, 0 first.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Model routes carry requests for engines.
	Model bool
	// Split lists the services by weight.
	Split []Share
}

// Share is one service of a route.
type Share struct {
	Service model.PoolName
	Weight  float64
}

// Repeatable tells whether a request may run again after an unknown outcome.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick chooses a service for a number in [0, 1).
func (r *Route) Pick(u float64) model.PoolName {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Split {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// CacheTokens is the memory for KV cache. Unit: tokens.
	CacheTokens int
	// BytesPerToken is the size of the KV cache of a token.
	BytesPerToken float64
	// LinkMbps is the rate of cache transfers.
	LinkMbps float64
	// HoldTime is how long the cache of a prefill is kept for its decode.
	HoldTime time.Duration
	// SwitchTime is how long an engine is away to change its stage.
	SwitchTime time.Duration
}

// Scaling describes how the number of a service's backend servers may change.
type Scaling struct {
	Min, Max  int
	BootTime  time.Duration
	SpotPrice float64
	// ZonePrices is the price of a backend server's second by data centre.
	Prices map[model.DataCentreID]float64
}

// Service is a pool of backend servers.
type Service struct {
	Name       model.PoolName
	HealthPath string
	// MaxConns bounds the connections of one backend server from all hosts.
	MaxConns int
	Engine   *Engine
	Scaling  *Scaling
}

// Organisation is a customer with its keys and quota.
type Organisation struct {
	ID   model.OrganisationID
	Keys []string
	// Priority goes before the priority of routes, 0 first.
	Priority int
	// ByTokens quotas count tokens, others count requests.
	ByTokens bool
	// PlainCost is what a request without token counts costs.
	PlainCost float64
	// Rate and Burst are the quota, 0 for none.
	Rate, Burst float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Catalog is a configuration prepared for look-ups. It is immutable.
type Catalog struct {
	Config
	routes   map[string][]*Route
	keys     map[string]*Organisation
	services map[model.PoolName]*Service
	orgs     map[model.OrganisationID]*Organisation
}

// New prepares a configuration.
func New(c Config) *Catalog {
	k := &Catalog{
		Config:   c,
		routes:   map[string][]*Route{},
		keys:     map[string]*Organisation{},
		services: map[model.PoolName]*Service{},
		orgs:     map[model.OrganisationID]*Organisation{},
	}
	for i := range k.Routes {
		r := &k.Routes[i]
		host := strings.ToLower(r.Host)
		k.routes[host] = append(k.routes[host], r)
	}
	for i := range k.Services {
		k.services[k.Services[i].Name] = &k.Services[i]
	}
	for i := range k.Organisations {
		o := &k.Organisations[i]
		k.orgs[o.ID] = o
		for _, key := range o.Keys {
			k.keys[key] = o
		}
	}
	return k
}

// Route finds the route with the longest prefix of a path.
func (k *Catalog) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *Route
	for _, r := range k.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Key finds the organisation that holds a key.
func (k *Catalog) Key(key string) *Organisation { return k.keys[key] }

// Service finds a service.
func (k *Catalog) Service(name model.PoolName) *Service { return k.services[name] }

// Organisation finds an organisation.
func (k *Catalog) Organisation(id model.OrganisationID) *Organisation { return k.orgs[id] }
