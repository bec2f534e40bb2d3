package enginesim

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/netfault"
	"github.com/redwingpath/redwingpath/standin/record"
)

const (
	maxBodyBytes = 64 << 20
	// relistenInterval is the time between attempts to listen on the same port again after a crash.
	relistenInterval = 50 * time.Millisecond
	// clientTimeout bounds one request to the weight store.
	clientTimeout = 5 * time.Second
)

// Engine is a running simulated engine.
type Engine struct {
	id         Identity
	config     Config
	recorder   *record.Recorder
	client     *http.Client
	address    string
	server     *http.Server
	stop       chan struct{}
	workers    sync.WaitGroup
	orderQueue chan *engine.OrderStatus

	mu       sync.Mutex
	work     *sync.Cond
	listener *netfault.Listener
	closed   bool
	// down is set from a crash until the restart.
	down bool
	// crashCount is the number of crashes. executeOrder compares it to detect a crash
	// during an order.
	crashCount uint64
	// outOfService is set while a role change or model load keeps the engine from serving.
	outOfService   bool
	pendingOrders  int
	state          engine.State
	faults         Faults
	orders         map[string]*engine.OrderStatus
	arrivals       uint64
	queue          []*sequence
	running        []*sequence
	byID           map[model.RequestID]*sequence
	finished       finishedRequests
	importedTokens map[model.RequestID]int
	cache          *prefixCache
	loadSamples    []engine.LoadReport
	random         *rand.Rand
}

// Start runs a simulated engine.
func Start(id Identity, c Config, r *record.Recorder) (*Engine, error) {
	c.setDefaults()
	listener, err := netfault.Listen(c.Address)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(c.Seed, 2))
	e := &Engine{
		id:         id,
		config:     c,
		recorder:   r,
		client:     &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		address:    listener.Addr().String(),
		stop:       make(chan struct{}),
		orderQueue: make(chan *engine.OrderStatus, maxQueuedOrders),
		listener:   listener,
		state: engine.State{
			Backend: id.Backend, Role: c.Role, Model: string(id.Model), Version: c.Version, Adapters: c.Adapters,
		},
		orders:         map[string]*engine.OrderStatus{},
		byID:           map[model.RequestID]*sequence{},
		importedTokens: map[model.RequestID]int{},
		cache:          newPrefixCache(c.CacheBlocks, c.EventLoss, random),
		random:         random,
	}
	e.work = sync.NewCond(&e.mu)
	e.addSample()
	if id.FetchAtStart {
		e.loadAtStart()
	}
	e.server = &http.Server{Handler: e.handler()}
	go func() { _ = e.server.Serve(listener) }()
	e.workers.Add(3)
	go e.runBatch()
	go e.sampleLoad()
	go e.executeOrders()
	return e, nil
}

// loadAtStart queues the loading of the model as the engine's first order.
func (e *Engine) loadAtStart() {
	e.outOfService = true
	e.pendingOrders++
	e.orderQueue <- &engine.OrderStatus{Order: engine.Order{
		OrderID: StartOrderID, Kind: engine.OrderLoadModel, Model: string(e.id.Model), Version: e.config.Version,
	}}
}

// URL returns the engine's base URL.
func (e *Engine) URL() string { return "http://" + e.address }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Hang stops the data on all open connections without closing them. Connections
// opened later work.
func (e *Engine) Hang() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Silence()
}

// Crash resets all connections and drops all requests and caches; the engine
// listens again on the same address after the restart time. Role, model,
// adapters, orders and the highest fencing token survive, as if they were on a
// local disk.
func (e *Engine) Crash(reason string, request model.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.closed {
		return
	}
	e.recorder.Add(record.Event{Kind: record.Crashed, Component: string(e.id.Backend), RequestID: request, Detail: reason})
	e.down = true
	e.crashCount++
	_ = e.listener.Close()
	e.listener.Reset()
	e.abortAll()
	e.cache.clear()
	clear(e.importedTokens)
	e.finished = finishedRequests{}
	if e.config.RestartMS >= 0 {
		e.workers.Add(1)
		go e.restart()
	}
}

func (e *Engine) restart() {
	defer e.workers.Done()
	if !e.pause(milliseconds(e.config.RestartMS)) {
		return
	}
	for {
		listener, err := netfault.Listen(e.address)
		if err == nil {
			e.resumeServing(listener)
			return
		}
		if !e.pause(relistenInterval) {
			return
		}
	}
}

func (e *Engine) resumeServing(l *netfault.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = l.Close()
		return
	}
	e.listener = l
	e.down = false
	go func() { _ = e.server.Serve(l) }()
}

// Close stops the engine at once, ends its requests and resets its connections.
func (e *Engine) Close() error {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil
	}
	e.closed = true
	close(e.stop)
	e.abortAll()
	e.work.Broadcast()
	listener := e.listener
	e.mu.Unlock()
	err := e.server.Close()
	listener.Reset()
	e.workers.Wait()
	return err
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathChat, e.recordRequest(e.serveChat))
	mux.HandleFunc("POST "+engine.PathCancel, e.recordRequest(e.serveCancel))
	mux.HandleFunc("POST "+engine.PathOrders, e.recordRequest(e.serveOrder))
	mux.HandleFunc("POST "+engine.PathKVExport, e.recordRequest(e.serveKVExport))
	mux.HandleFunc("POST "+engine.PathKVImport, e.recordRequest(e.serveKVImport))
	// Polls without effect are frequent and are not recorded.
	mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+engine.PathOrderStatus, e.serveOrderStatus)
	mux.HandleFunc("GET "+engine.PathState, e.serveState)
	return mux
}

// recordRequest wraps a handler to record the request before it runs. It reads
// the whole body, since net/http detects a disconnected client only after that.
func (e *Engine) recordRequest(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBodyBytes))
		event := record.Request(record.Received, string(e.id.Backend), q)
		event.CallTag = record.CallTag(body)
		if q.URL.Path == engine.PathOrders && json.Valid(body) {
			event.Body = body
		}
		e.recorder.Add(event)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q.Body = io.NopCloser(bytes.NewReader(body))
		next(w, q)
	}
}

func decodeBody(w http.ResponseWriter, q *http.Request, into any) bool {
	err := json.NewDecoder(q.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
