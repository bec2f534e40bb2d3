package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Fleet is a host's view of the backend servers. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	settings Settings
	servers  map[model.BackendID]*server
	services map[model.PoolName]*service
	position position
	// unreportedSends is the work this host has sent since its last report.
	unreportedSends []Send
	// peerLoads is the load that each peer has reported for servers, by host.
	peerLoads map[string][]peerLoad
	// notices are what servers have stated about themselves.
	notices map[life]*notice
	// limits are the limits that servers have stated.
	limits map[life]*statedLimit
	// evacuated are the data centres whose servers get no requests.
	evacuated []model.DataCentreID
	// self is the name of this host, hosts are those of all that may be sending requests,
	// members also those of hosts that are silent.
	self    string
	hosts   []string
	members []string
	// firstServerAt is when the first server was registered.
	firstServerAt time.Time
	// startEvents are events for the log.
	startEvents []StartEvent
}

// service holds the servers of a service and the estimates for its engines.
type service struct {
	servers []*server
	// preferencesValid is set while the servers' preference costs are up to date.
	preferencesValid bool
	// prefill holds the prefill estimates by stage.
	prefill [3]prefillModel
	// firstEvent is the estimated time from the end of prefill on a prefill engine to the
	// first event. Unit: milliseconds.
	firstEvent estimate
	// prefillWork is the total prefill time of the requests that all hosts have sent so
	// far.
	prefillWork time.Duration
	// rates are the rates of this host's requests by stage.
	rates [3]requestRate
	// plainCall is the usual duration of a call to a plain service. Unit: milliseconds.
	plainCall estimate
	// meanHoldTime is the mean time from the send of a request to its end, 0 until one has
	// ended.
	meanHoldTime time.Duration
	partRates    partRates
	// nextReturn is the time for which the next refused caller is asked to come back.
	nextReturn time.Time
}

// server is the state of one backend server.
type server struct {
	Backend
	// preferenceCost is the cost of an engine that other hosts prefer.
	preferenceCost time.Duration
	// busyUntil is when the engine is expected to finish the work that all hosts have sent.
	busyUntil time.Time
	cache     partCache
	// running counts the requests of this host, peersRunning those of other hosts.
	running, peersRunning int
	// pendingPrefill is the prefill time of this host's requests whose prefill has not
	// ended, peersPendingPrefill that of other hosts.
	pendingPrefill, peersPendingPrefill time.Duration
	// memory is what this host's requests use of the engine's memory, nil if it does not
	// limit them. peersTokens is in use by requests of other hosts.
	memory      *engineMemory
	peersTokens int
	// memoryWait is the expected wait for memory of the request that is being placed.
	memoryWait time.Duration
	// failureRate is the exponential moving average of failed requests.
	failureRate float64
	// suspectUntil is the time until which an unresponsive server is avoided.
	suspectUntil   time.Time
	silentFailures int
	// switching is set while the engine is about to change its stage and accepts no
	// requests.
	switching bool
	// pausedUntil is the time until which the server wants no requests.
	pausedUntil time.Time
	// evacuated is set while the server's data centre is evacuated.
	evacuated bool
	// turns is this host's part of the server's limit, nil if it has none.
	turns *turns
	// start is the state of the start of the server's present life.
	start
}

// NewFleet returns a fleet without servers.
func NewFleet(s Settings) *Fleet {
	return &Fleet{settings: s, servers: map[model.BackendID]*server{}, services: map[model.PoolName]*service{}, position: position{hosts: 1}, peerLoads: map[string][]peerLoad{}, notices: map[life]*notice{}, limits: map[life]*statedLimit{}}
}

// Update adds or updates a server.
func (f *Fleet) Update(b Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[b.ID]
	if s != nil && s.Service != b.Service {
		f.remove(s)
		s = nil
	}
	if s == nil {
		s = &server{}
		f.servers[b.ID] = s
		k := f.service(b.Service)
		k.servers = append(k.servers, s)
	}
	if s.Backend.Stage != b.Stage || s.Backend.Leaving != b.Leaving || s.ID == "" {
		f.service(b.Service).preferencesValid = false
	}
	sameLife := s.ID == b.ID && s.Incarnation == b.Incarnation
	s.Backend = b
	f.markEvacuated(s)
	f.heedNotice(s)
	if s.tolerates() <= 0 {
		s.coldTurns = nil
	}
	f.updateMemory(s, sameLife)
	if !sameLife {
		s.turns, s.start = nil, start{}
		f.divideLimit(s)
	}
	if b.Engine != nil {
		s.cache.limitTokens = int(cacheShare * float64(b.Engine.CacheTokens))
	}
}

// cacheShare is the share of an engine's KV cache memory that is expected to hold cached
// prompt parts; running requests take the rest.
const cacheShare = 0.85

func (f *Fleet) service(name model.PoolName) *service {
	k := f.services[name]
	if k == nil {
		k = &service{
			prefill: [3]prefillModel{
				StagePrefill: {rate: estimate{value: f.settings.PrefillRate}, overhead: estimate{value: millis(f.settings.PrefillOverhead)}},
				StageDecode:  {rate: estimate{value: f.settings.DecodeRate}, overhead: estimate{value: millis(f.settings.FirstEventDelay)}},
			},
			firstEvent: estimate{value: millis(f.settings.FirstEventDelay)},
		}
		f.services[name] = k
	}
	return k
}

// Remove removes a server.
func (f *Fleet) Remove(id model.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		f.remove(s)
	}
}

func (f *Fleet) remove(s *server) {
	delete(f.servers, s.ID)
	k := f.services[s.Service]
	k.preferencesValid = false
	k.servers = slices.DeleteFunc(k.servers, func(o *server) bool { return o == s })
}

// Get returns a server by ID.
func (f *Fleet) Get(id model.BackendID) (Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return Backend{}, false
	}
	return s.Backend, true
}

// List returns all servers, ordered by ID.
func (f *Fleet) List() []Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Backend, 0, len(f.servers))
	for _, s := range f.servers {
		all = append(all, s.Backend)
	}
	slices.SortFunc(all, func(a, b Backend) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// SetSwitching replaces the set of engines that are changing their stage.
func (f *Fleet) SetSwitching(ids []model.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		s.switching = slices.Contains(ids, id)
	}
}
