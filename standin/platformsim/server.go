package platformsim

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/netfault"
	"github.com/redwingpath/redwingpath/standin/record"
)

const (
	component        = "platform"
	defaultReadLimit = 1000
	// maxBodyBytes leaves room for the base64 encoding of a log entry of maximum size.
	maxBodyBytes = 2 * platform.MaxLogEntryBytes
	// weightBurst is the number of weight fetches that may start at the same time.
	weightBurst = 20
)

// Platform is a running simulated platform.
type Platform struct {
	config   Config
	recorder *record.Recorder
	faults   *fault.Set
	log      *log
	fleet    *fleet
	usage    *usage
	hosts    *hosts
	weights  *rate.Limiter
	listener *netfault.Listener
	server   *http.Server
}

// Start starts a simulated platform.
func Start(c Config, r *record.Recorder, l Launcher, pools map[model.PoolName]PoolInfo) (*Platform, error) {
	c.setDefaults()
	listener, err := netfault.Listen(c.Address)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		config:   c,
		recorder: r,
		faults:   fault.NewSet(c.Seed),
		log:      newLog(&c),
		usage:    newUsage(),
		hosts:    newHosts(&c),
		weights:  rate.NewLimiter(rate.Limit(c.FetchesPerMinute/60), weightBurst),
		listener: listener,
	}
	p.fleet = newFleet(&p.config, r, l, pools)
	p.server = &http.Server{Handler: p.handler()}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// URL returns the platform's base URL.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Faults returns the faults of the platform's interfaces.
func (p *Platform) Faults() *fault.Set { return p.faults }

// AddInitial adds a backend server that exists from the start.
func (p *Platform) AddInitial(b platform.Backend) { p.fleet.addInitial(b) }

// Backends returns the backend servers without lag.
func (p *Platform) Backends() []platform.Backend { return p.fleet.current() }

// Reclaim reclaims the preemptible backend servers of a data centre. An empty
// data centre means all of them; a notice of 0 means the configured one.
func (p *Platform) Reclaim(dc model.DataCentreID, notice time.Duration) []model.BackendID {
	return p.fleet.reclaim(dc, notice)
}

// SetHost sets the state of an entry host in the platform's list.
func (p *Platform) SetHost(id model.HostID, state HostState) { p.hosts.set(id, state) }

// DropLogBefore drops log entries before an offset, as retention does.
func (p *Platform) DropLogBefore(offset model.Offset) { p.log.dropBefore(offset) }

// Listener returns the listener, whose connections can be silenced.
func (p *Platform) Listener() *netfault.Listener { return p.listener }

// Close stops the platform.
func (p *Platform) Close() error {
	p.fleet.close()
	err := p.server.Close()
	p.listener.Reset()
	return err
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, i fault.Interface, h http.HandlerFunc) {
		wrapped := p.faults.Wrap(i, h)
		mux.HandleFunc(pattern, func(w http.ResponseWriter, q *http.Request) {
			// GET requests have no effect and are frequent, so they are not recorded.
			if q.Method == http.MethodGet || p.recordRequest(w, q, i) {
				wrapped(w, q)
			}
		})
	}
	handle("POST "+platform.PathLogAppend, fault.LogAppend, p.serveAppend)
	handle("GET "+platform.PathLogRead, fault.LogRead, p.serveRead)
	handle("GET "+platform.PathBackends, fault.FleetList, p.serveBackends)
	handle("POST "+platform.PathBackendOrder, fault.FleetOrder, p.serveOrder)
	handle("GET "+platform.PathBackendStatus, fault.FleetStatus, p.serveOrderStatus)
	handle("GET "+platform.PathHosts, fault.Hosts, p.serveHosts)
	handle("POST "+platform.PathUsageReport, fault.UsageReport, p.serveUsage)
	handle("GET "+platform.PathUsageStatus, fault.UsageStatus, p.serveUsageStatus)
	handle("GET "+platform.PathWeights, fault.Weights, p.serveWeights)
	handle("POST "+platform.PathWeightsFetch, fault.WeightsFetch, p.serveFetch)
	return mux
}

// recordRequest reads and records a request before a fault can hide it. The body of a
// log append is recorded by the Appended event instead. It reports false if the
// body cannot be read.
func (p *Platform) recordRequest(w http.ResponseWriter, q *http.Request, i fault.Interface) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBodyBytes))
	event := record.Request(record.Received, component, q)
	if i != fault.LogAppend && json.Valid(body) {
		event.Body = body
	}
	p.recorder.Add(event)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

func (p *Platform) serveAppend(w http.ResponseWriter, q *http.Request) {
	var request platform.AppendRequest
	if !decodeBody(w, q, &request) {
		return
	}
	if len(request.Data) > platform.MaxLogEntryBytes {
		http.Error(w, "entry too large", http.StatusRequestEntityTooLarge)
		return
	}
	offset, ok := p.log.append(request.Data, time.Now(), func(o model.Offset) { p.recordAppend(o, request.Data) })
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "append rate reached", http.StatusTooManyRequests)
		return
	}
	reply(w, platform.AppendResponse{Offset: offset})
}

func (p *Platform) recordAppend(offset model.Offset, data []byte) {
	e := record.Event{Kind: record.Appended, Component: component, Offset: offset}
	if json.Valid(data) {
		e.Body = data
	} else {
		e.Detail = "entry is not JSON"
	}
	p.recorder.Add(e)
}

func (p *Platform) serveRead(w http.ResponseWriter, q *http.Request) {
	query := q.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(query.Get("max"))
	if limit <= 0 {
		limit = defaultReadLimit
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	wait := min(milliseconds(waitMS), platform.MaxReadWait)
	response, retained := p.log.read(q.Context(), model.Offset(from), limit, wait)
	if !retained {
		replyStatus(w, http.StatusGone, response)
		return
	}
	reply(w, response)
}

func (p *Platform) serveBackends(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.fleet.backendList())
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	reply(w, p.hosts.hostList())
}

func (p *Platform) serveOrder(w http.ResponseWriter, q *http.Request) {
	var order platform.BackendOrder
	if !decodeBody(w, q, &order) {
		return
	}
	reply(w, p.fleet.order(order))
}

func (p *Platform) serveOrderStatus(w http.ResponseWriter, q *http.Request) {
	status, known := p.fleet.orderStatus(q.URL.Query().Get("order_id"))
	replyIfFound(w, status, known)
}

func (p *Platform) serveUsage(w http.ResponseWriter, q *http.Request) {
	var report platform.UsageReport
	if !decodeBody(w, q, &report) {
		return
	}
	if reason := p.usage.report(report); reason != "" {
		p.recorder.AddValue(record.Event{Kind: record.UsageRefused, Component: component, Detail: reason}, report)
		http.Error(w, reason, http.StatusConflict)
		return
	}
	p.recorder.AddValue(record.Event{Kind: record.UsageAccepted, Component: component}, report)
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) serveUsageStatus(w http.ResponseWriter, q *http.Request) {
	report, known := p.usage.status(q.URL.Query().Get("report_id"))
	replyIfFound(w, report, known)
}

func (p *Platform) serveWeights(w http.ResponseWriter, _ *http.Request) {
	reply(w, platform.WeightStoreStatus{
		FetchesPerMinute: p.config.FetchesPerMinute,
		AvailableNow:     max(p.weights.Tokens(), 0),
	})
}

func (p *Platform) serveFetch(w http.ResponseWriter, q *http.Request) {
	var fetch platform.WeightFetch
	if !decodeBody(w, q, &fetch) {
		return
	}
	if !p.weights.Allow() {
		http.Error(w, "weight fetch rate reached", http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func decodeBody(w http.ResponseWriter, q *http.Request, into any) bool {
	err := json.NewDecoder(q.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, value any) {
	replyStatus(w, http.StatusOK, value)
}

func replyIfFound(w http.ResponseWriter, value any, known bool) {
	if !known {
		http.Error(w, "not known", http.StatusNotFound)
		return
	}
	reply(w, value)
}

func replyStatus(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
