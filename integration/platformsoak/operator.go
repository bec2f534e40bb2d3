package platformsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
)

const (
	// lastingKey is in every configuration.
	lastingKey = "lasting"
	// maxAddedRoutes and maxKeys bound what a configuration has besides the first routes and
	// the lasting key.
	maxAddedRoutes, maxKeys = 4, 3
	// movingRoute moves between the services of movingServices.
	movingRoute = "move"
)

var movingServices = []string{"east", "west"}

// firstRoutes are in every configuration.
var firstRoutes = map[string]routeConfig{
	"pay":    {kind: "non_idempotent", service: "plain", attempts: 1},
	"refund": {kind: "non_idempotent", service: "ledger", attempts: 2},
	"look":   {kind: "idempotent", service: "plain", attempts: 2},
	"say":    {kind: "streaming", service: "model", attempts: 2, resumable: true},
	"tell":   {kind: "streaming", service: "model", attempts: 2},
}

type routeConfig struct {
	kind, service string
	attempts      int
	resumable     bool
}

// judged returns the properties of a route that the rules depend on.
func (c routeConfig) judged(first bool) judge.Route {
	return judge.Route{AtMostOnce: c.kind != "idempotent" && !c.resumable, MaxServers: c.attempts, First: first}
}

// configuration is what the operator writes, and what it has dropped. r.mu guards it.
type configuration struct {
	version int
	// names numbers the routes and keys that were added.
	names int
	added []string
	// droppedRoutes and withdrawnKeys are in no later configuration.
	droppedRoutes, withdrawnKeys []string
	keys                         []string
	movingTo                     int
	versions                     []judge.Version
	invalid                      []judge.InvalidConfig
	// oldest and latest are the first and the last document that was written.
	oldest, latest map[string]any
}

func (c *configuration) routes() map[string]routeConfig {
	routes := maps.Clone(firstRoutes)
	for _, name := range c.added {
		routes[name] = routeConfig{kind: "idempotent", service: "plain", attempts: 2}
	}
	routes[movingRoute] = routeConfig{kind: "idempotent", service: movingServices[c.movingTo], attempts: 2}
	return routes
}

// putConfig writes the next version. The caller holds r.mu or is alone.
func (r *run) putConfig() {
	c := &r.configuration
	c.version += 1 + c.version%3
	v := judge.Version{Number: c.version, Services: map[string]string{}, Keys: map[string]bool{lastingKey: true}}
	var routes []any
	for name, route := range c.routes() {
		v.Services[name] = route.service
		routes = append(routes, map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": route.kind, "timeout_ms": 2000, "service": route.service,
			"max_attempts": route.attempts, "resumable": route.resumable, "sticky": route.service == "model",
		})
	}
	for _, key := range c.keys {
		v.Keys[key] = true
	}
	services := []any{map[string]any{"name": "model", "engine": map[string]any{"slots": 8, "kv_tokens": 100000}}}
	for _, name := range append([]string{"plain", "ledger"}, movingServices...) {
		services = append(services, map[string]any{"name": name})
	}
	c.latest = map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"tenants": []any{map[string]any{"name": "org", "api_keys": append([]string{lastingKey}, c.keys...)}},
	}
	if c.oldest == nil {
		c.oldest = c.latest
	}
	v.Sent = time.Now()
	r.store.Put("keyed.op", "config", c.latest)
	v.Acked = time.Now()
	c.versions = append(c.versions, v)
}

// operate changes the configuration in series and in storms until ctx is done.
func (r *run) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, 78))
	for ctx.Err() == nil {
		steps, pause := 1, 700*time.Millisecond
		switch random.IntN(4) {
		case 0:
			steps, pause = 4+random.IntN(10), 40*time.Millisecond
		case 1:
			steps, pause = 3+random.IntN(3), 300*time.Millisecond
		}
		for range steps {
			r.changeConfig(random)
			time.Sleep(pause/2 + time.Duration(random.Int64N(int64(pause))))
		}
		if random.IntN(4) == 0 {
			r.putInvalidConfig(random)
			time.Sleep(100*time.Millisecond + time.Duration(random.Int64N(int64(time.Second))))
			r.changeConfig(random)
		}
		// Hosts have the time to apply the last version, so that later ones make a difference.
		time.Sleep(time.Duration(random.Int64N(int64(2500 * time.Millisecond))))
	}
}

// changeConfig makes one change and writes it.
func (r *run) changeConfig(random *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.configuration
	c.names++
	switch random.IntN(5) {
	case 0:
		c.added = append(c.added, fmt.Sprint("new-", c.names))
		r.routes[c.added[len(c.added)-1]] = routeConfig{kind: "idempotent", service: "plain", attempts: 2}.judged(false)
		if len(c.added) <= maxAddedRoutes {
			break
		}
		fallthrough
	case 1:
		if len(c.added) > 0 {
			c.droppedRoutes = append(c.droppedRoutes, c.added[0])
			c.added = slices.Clone(c.added[1:])
		}
	case 2:
		c.movingTo = (c.movingTo + 1) % len(movingServices)
	case 3:
		c.keys = append(c.keys, fmt.Sprint("k", c.names))
		if len(c.keys) <= maxKeys {
			break
		}
		fallthrough
	case 4:
		if len(c.keys) > 1 {
			r.revoked[c.keys[0]] = time.Now()
			c.withdrawnKeys = append(c.withdrawnKeys, c.keys[0])
			c.keys = slices.Clone(c.keys[1:])
		}
	}
	r.putConfig()
}

// putInvalidConfig writes what another writer may have left under the key of the
// configuration. It must not take effect.
func (r *run) putInvalidConfig(random *rand.Rand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.configuration
	invalid := maps.Clone(c.latest)
	var kind string
	switch random.IntN(4) {
	case 0:
		kind, invalid = "not JSON", nil
	case 1:
		kind = "routes of a wrong type"
		c.version++
		invalid["version"], invalid["routes"] = c.version, "none"
	case 2:
		kind = "an older version"
		invalid = c.oldest
	case 3:
		kind = "a version without routes"
		c.version++
		invalid["version"] = c.version
		delete(invalid, "routes")
	}
	raw := []byte(`{"version":`)
	if invalid != nil {
		var err error
		if raw, err = json.Marshal(invalid); err != nil {
			panic(err)
		}
	}
	c.invalid = append(c.invalid, judge.InvalidConfig{Kind: kind, At: time.Now()})
	r.store.PutRaw("keyed.op", "config", raw)
}
