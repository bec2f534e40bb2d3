// Package catalog defines the configuration of hosts that forward opaque requests:
// routes, services, and organisations with their keys. It indexes the configuration
// for look-ups.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests have a response of numbered events.
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

// Route sends the requests for a host name and path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the response.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response or, for a stream, to its first
	// event.
	TargetLatency time.Duration
	// TargetGap is the target for the longest pause between events.
	TargetGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that a request is sent to.
	MaxAttempts int
	// Public marks routes that need no key.
	Public bool
	// Resumable marks streams that may continue at another backend server.
	Resumable bool
	// ForEngines marks routes whose requests go to engines.
	ForEngines bool
	// Split divides the requests among services by weight.
	Split []ServiceWeight
}

// ServiceWeight is a service of a route and its weight.
type ServiceWeight struct {
	Service model.PoolName
	Weight  float64
}

// Repeatable reports whether a request with an unknown outcome may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService chooses a service by weight; u is a random number in [0, 1).
func (r *Route) PickService(u float64) model.PoolName {
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
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of the KV cache. Unit: tokens.
	CacheTokens int
	// BytesPerToken is the size of the KV cache per token. Unit: bytes.
	BytesPerToken float64
	// LinkMbps is the bandwidth of cache transfers. Unit: Mbit/s.
	LinkMbps float64
	// HoldTime is how long an engine keeps the cache of a prefill for its decode.
	HoldTime time.Duration
	// SwitchTime is how long an engine is unavailable while it changes its stage.
	SwitchTime time.Duration
}

// Scaling bounds the number of a service's backend servers and states their cost.
type Scaling struct {
	Min, Max  int
	BootTime  time.Duration
	SpotPrice float64
	// Prices is the price of a backend server per second, by data centre.
	Prices map[model.DataCentreID]float64
}

// Service is a pool of backend servers.
type Service struct {
	Name       model.PoolName
	HealthPath string
	// MaxConns is the maximum number of connections to a backend server from all hosts.
	MaxConns int
	// ColdTime is how long a backend server is cold after its start, 0 if it is never cold.
	ColdTime time.Duration
	// ColdPerSecond is the rate that a cold server tolerates, 0 for no bound. Unit: requests
	// per second.
	ColdPerSecond float64
	Engine        *Engine
	Scaling       *Scaling
}

// Organisation is a customer with its keys and quota.
type Organisation struct {
	ID   model.OrganisationID
	Keys []string
	// Priority ranks organisations; 0 is the highest. It takes precedence over the
	// priority of routes.
	Priority int
	// QuotaInTokens means that the quota counts tokens instead of requests.
	QuotaInTokens bool
	// DefaultCost is the cost of a request without token counts.
	DefaultCost float64
	// Rate and Burst are the quota; 0 means no quota.
	Rate, Burst float64
}

// Limits bound the requests and connections of callers.
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

// Catalog is a configuration indexed for look-ups. It is immutable.
type Catalog struct {
	Config
	routes        map[string][]*Route
	keys          map[string]*Organisation
	services      map[model.PoolName]*Service
	organisations map[model.OrganisationID]*Organisation
}

// New indexes a configuration.
func New(config Config) *Catalog {
	c := &Catalog{
		Config:        config,
		routes:        map[string][]*Route{},
		keys:          map[string]*Organisation{},
		services:      map[model.PoolName]*Service{},
		organisations: map[model.OrganisationID]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		c.organisations[o.ID] = o
		for _, key := range o.Keys {
			c.keys[key] = o
		}
	}
	return c
}

// Route returns the route of a host name with the longest matching path prefix, or nil.
func (c *Catalog) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *Route
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Key returns the organisation that a key belongs to, or nil.
func (c *Catalog) Key(key string) *Organisation { return c.keys[key] }

// Service returns a service, or nil.
func (c *Catalog) Service(name model.PoolName) *Service { return c.services[name] }

// Unmetered reports whether there are organisations and none of them has a quota, so that
// nothing but the hosts bounds the load on engines.
func (c *Catalog) Unmetered() bool {
	return len(c.Organisations) > 0 &&
		!slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Rate > 0 })
}

// Organisation returns an organisation, or nil.
func (c *Catalog) Organisation(id model.OrganisationID) *Organisation { return c.organisations[id] }
