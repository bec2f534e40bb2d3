package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Fleet is what a host knows of the backend servers. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	settings Settings
	servers  map[model.BackendID]*server
	services map[model.PoolName]*service
	// sends are the own sends since the last report.
	sends []Send
}

// service is what is learned of all servers of a service.
type service struct {
	servers []*server
	// rates of reading, by stage. Unit: tokens per millisecond.
	rates [3]float64
	// first is the learned time from the end of reading to the first event.
	first time.Duration
}

// server is one backend server.
type server struct {
	Backend
	// busyUntil is when the work that all hosts have sent is expected to end.
	busyUntil time.Time
	parts     partCache
	// running counts own requests, peers those of other hosts.
	running int
	peers   map[string]int
	// unread is the work that own requests have sent and that has not been done,
	// unreadPeers that of other hosts.
	unread      time.Duration
	unreadPeers map[string]time.Duration
	// failures is a moving share of failed requests.
	failures float64
	// suspectUntil keeps a server that went silent out of use.
	suspectUntil time.Time
	strikes      int
	// switching engines are about to change their stage and take no requests.
	switching bool
}

// NewFleet returns an empty fleet.
func NewFleet(s Settings) *Fleet {
	return &Fleet{settings: s, servers: map[model.BackendID]*server{}, services: map[model.PoolName]*service{}}
}

// Update adds a server or changes it.
func (f *Fleet) Update(b Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[b.ID]
	if s != nil && s.Service != b.Service {
		f.remove(s)
		s = nil
	}
	if s == nil {
		s = &server{peers: map[string]int{}, unreadPeers: map[string]time.Duration{}}
		f.servers[b.ID] = s
		k := f.service(b.Service)
		k.servers = append(k.servers, s)
	}
	s.Backend = b
	if b.Engine != nil {
		s.parts.limit = int(cacheShare * float64(b.Engine.CacheTokens))
	}
}

// cacheShare is the part of an engine's memory that is expected to keep parts of
// prompts; running requests take the rest.
const cacheShare = 0.85

func (f *Fleet) service(name model.PoolName) *service {
	k := f.services[name]
	if k == nil {
		k = &service{
			rates: [3]float64{StagePrefill: f.settings.PrefillRate, StageDecode: f.settings.DecodeRate},
			first: f.settings.FirstEvent,
		}
		f.services[name] = k
	}
	return k
}

// Remove forgets a server.
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
	k.servers = slices.DeleteFunc(k.servers, func(o *server) bool { return o == s })
}

// Get finds a server.
func (f *Fleet) Get(id model.BackendID) (Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return Backend{}, false
	}
	return s.Backend, true
}

// List lists all servers.
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

// Ticket is a request that was sent by a plan.
type Ticket struct {
	plan Plan
	// prompt is the request's prompt, which the reader keeps from now on.
	prompt []Part
	sentAt time.Time
	// idle tells that nothing was ahead of the request.
	idle bool
	// due is when the reader is expected to end the request's prompt.
	due   time.Time
	first bool
	// running tells that the request counts at its server.
	running bool
	// read tells that the prompt was read.
	read bool
	done bool
}

// Send registers a request that is about to be sent by a plan.
func (f *Fleet) Send(p Plan, r *Request, now time.Time) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &Ticket{plan: p, prompt: r.Parts, sentAt: now}
	if run := f.servers[p.Run.ID]; run != nil && p.Prefill == nil {
		t.run(run)
	}
	reader := f.servers[p.Reader().ID]
	if reader == nil {
		return t
	}
	t.idle = !reader.busyUntil.After(now)
	reader.occupy(p.work, now)
	reader.unread += p.work
	t.due = reader.busyUntil
	reader.parts.add(r.Parts)
	if reader.Engine != nil {
		f.note(Send{Backend: reader.ID, WorkMS: millis(p.work), Parts: shared(r.Parts)})
	}
	return t
}

// shared leaves out the last part, which no other request is expected to have.
func shared(parts []Part) []Part {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// run counts a request at the server that runs it, from when it is sent there.
func (t *Ticket) run(s *server) {
	s.running++
	s.parts.add(t.prompt)
	t.plan.Run = s.Backend
	t.running = true
}

func (s *server) occupy(work time.Duration, now time.Time) {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(work)
	if s.busyUntil.After(now.Add(backlogMost)) {
		s.busyUntil = now.Add(backlogMost)
	}
}

// backlogMost bounds the believed work of an engine: callers wait no longer, so
// that more than this is an error of the belief.
const backlogMost = 5 * time.Second

// Learning weights. A rate changes by a tenth of what one request shows, so that
// a dozen requests on idle engines settle it.
const (
	rateWeight = 0.1
	// slowerWeight is less, since work of other hosts that is not known of yet
	// makes an engine look slower than it is.
	slowerWeight = 0.02
	// readOverhead is the time of a call that is not reading.
	readOverhead = 15 * time.Millisecond
	// correctionWeight is the part of a prediction's error by which an engine's
	// backlog is corrected.
	correctionWeight = 0.4
	// rateTokens is the shortest reading that tells a rate.
	rateTokens = 3000
	// failureWeight is the weight of the latest request in a server's failures.
	failureWeight = 0.15
)

// Read notes the end of a prefill call.
func (f *Fleet) Read(t *Ticket, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasRead(t)
	f.learn(t, now.Sub(t.sentAt), StagePrefill, now)
}

// hasRead notes that a request's prompt was read, or will not be.
func (f *Fleet) hasRead(t *Ticket) {
	if t.read {
		return
	}
	t.read = true
	if reader := f.servers[t.plan.Reader().ID]; reader != nil {
		reader.unread = max(0, reader.unread-t.plan.work)
	}
}

// FirstEvent notes the first event of a request.
func (f *Fleet) FirstEvent(t *Ticket, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.first {
		return
	}
	t.first = true
	if t.plan.Prefill == nil {
		f.hasRead(t)
	}
	if t.plan.Prefill == nil && t.plan.Run.Stage == StageDecode {
		k := f.services[t.plan.Run.Service]
		if k != nil {
			f.learn(t, now.Sub(t.sentAt)-k.first, StageDecode, now)
		}
	}
	if s := f.servers[t.plan.Run.ID]; s != nil {
		s.strikes = 0
		s.suspectUntil = time.Time{}
	}
}

// learn compares the time of reading with the prediction.
func (f *Fleet) learn(t *Ticket, took time.Duration, stage Stage, now time.Time) {
	s := f.servers[t.plan.Reader().ID]
	k := f.services[t.plan.Run.Service]
	if s == nil || k == nil {
		return
	}
	if t.idle && t.plan.Uncached >= rateTokens && t.plan.Fetch == nil && took > 0 {
		sample := float64(t.plan.Uncached) / millis(max(took-readOverhead, time.Millisecond))
		sample = min(max(sample, k.rates[stage]/2), k.rates[stage]*2)
		weight := rateWeight
		if sample < k.rates[stage] {
			weight = slowerWeight
		}
		k.rates[stage] = math.Exp((1-weight)*math.Log(k.rates[stage]) + weight*math.Log(sample))
	}
	late := t.sentAt.Add(took).Sub(t.due)
	s.busyUntil = s.busyUntil.Add(time.Duration(correctionWeight * float64(late)))
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
}

// Outcome is how a request ended at its server.
type Outcome int

// Outcomes.
const (
	// Served requests were answered.
	Served Outcome = iota
	// Abandoned requests tell nothing of the server.
	Abandoned
	// Refused requests were turned away by the server.
	Refused
	// Failed requests broke off or were spoiled.
	Failed
	// Silent requests got no answer or no connection.
	Silent
)

// Suspicion grows with each silent request, from about a heartbeat to the time
// after which a dead server's registration has lapsed.
const (
	suspectFirst = time.Second
	suspectMost  = 4 * time.Second
)

// Done ends a request.
func (f *Fleet) Done(t *Ticket, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	f.giveBack(t, now)
	s := f.servers[t.plan.Run.ID]
	if s == nil {
		return
	}
	if t.running {
		s.running--
	}
	s.judge(o, now)
}

// giveBack takes the work of a request that ended before its prompt was read off
// its reader.
func (f *Fleet) giveBack(t *Ticket, now time.Time) {
	reader := f.servers[t.plan.Reader().ID]
	if t.first || t.read || reader == nil || reader.Engine == nil {
		return
	}
	f.hasRead(t)
	left := min(t.plan.work, max(0, t.due.Sub(now)))
	reader.occupy(-left, now)
	f.note(Send{Backend: reader.ID, WorkMS: -millis(left)})
}

// Judge notes how a prefill call ended.
func (f *Fleet) Judge(id model.BackendID, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		s.judge(o, now)
	}
}

func (s *server) judge(o Outcome, now time.Time) {
	switch o {
	case Served:
		s.failures -= failureWeight * s.failures
		s.strikes = 0
	case Refused, Failed, Silent:
		s.failures += failureWeight * (1 - s.failures)
	}
	if o == Silent {
		s.suspectUntil = now.Add(min(suspectFirst<<min(s.strikes, 4), suspectMost))
		s.strikes++
	}
}

// Loads counts the requests of all hosts on each server of a service.
func (f *Fleet) Loads(name model.PoolName) (running, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.services[name]
	if k == nil {
		return 0, 0
	}
	for _, s := range k.servers {
		if s.Leaving || s.Stage == StagePrefill {
			continue
		}
		running += s.load()
		slots += s.Slots
	}
	return running, slots
}

func (s *server) load() int {
	n := s.running
	for _, peer := range s.peers {
		n += peer
	}
	return n
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Started tells whether the first event has come. The sender of the request owns
// the ticket.
func (t *Ticket) Started() bool { return t.first }

// SetSwitching names the engines that are changing their stage.
func (f *Fleet) SetSwitching(ids []model.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		s.switching = slices.Contains(ids, id)
	}
}

// Load counts the requests of all hosts on a server.
func (f *Fleet) Load(id model.BackendID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[id]; s != nil {
		return s.load()
	}
	return 0
}

// Summary describes the engines of a service for logs.
type Summary struct {
	Service                  model.PoolName
	Prefillers, Decoders     int
	PrefillRate, DecodeRate  float64
	PrefillWait, DecodeWait  time.Duration
	Running, Slots, Suspects int
}

// Summaries describes all services with engines.
func (f *Fleet) Summaries(now time.Time) []Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Summary
	for name, k := range f.services {
		s := Summary{Service: name, PrefillRate: k.rates[StagePrefill], DecodeRate: k.rates[StageDecode]}
		for _, e := range k.servers {
			if now.Before(e.suspectUntil) {
				s.Suspects++
			}
			if e.Leaving || e.switching {
				continue
			}
			wait := max(0, e.busyUntil.Sub(now))
			switch e.Stage {
			case StagePrefill:
				s.Prefillers++
				s.PrefillWait += wait
			case StageDecode:
				s.Decoders++
				s.DecodeWait += wait
				s.Running += e.load()
				s.Slots += e.Slots
			}
		}
		if s.Prefillers+s.Decoders == 0 {
			continue
		}
		s.PrefillWait /= time.Duration(max(1, s.Prefillers))
		s.DecodeWait /= time.Duration(max(1, s.Decoders))
		list = append(list, s)
	}
	return list
}
