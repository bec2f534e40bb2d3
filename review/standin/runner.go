package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a runner of a plain service or, with a stage, of a model service.
type runner struct {
	id, service, zone, stage, address string

	store    *store
	born     int64
	work     time.Duration
	listener net.Listener
	server   *http.Server
	// serve answers a request that the runner has begun to run.
	serve func(r *runner, w http.ResponseWriter, req *http.Request)

	mu   sync.Mutex
	seq  int
	runs []run
	left bool
}

// run is a request that a runner has begun to run.
type run struct {
	attempt, method, target, host string
	at                            time.Time
}

// beatInterval is the interval of a runner's writes to the store.
const beatInterval = 1200 * time.Millisecond

// openRunner starts a runner and registers it. Its first beat comes after a delay, so that
// the beats of the runners don't come together.
func openRunner(s *store, id, service, zone, stage string, work, firstBeat time.Duration) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &runner{id: id, service: service, zone: zone, stage: stage, address: l.Addr().String(), store: s, born: time.Now().UnixMilli(), work: work, listener: l, serve: serveWhole}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.beat()
	go func() {
		time.Sleep(firstBeat)
		for r.beat() {
			time.Sleep(beatInterval)
		}
	}()
	return r
}

// beat writes the runner's entry, unless it has left the store.
func (r *runner) beat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left {
		return false
	}
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.stage != "" {
		entry["stage"] = r.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	r.store.put("keyed.servers", r.id, entry)
	return true
}

// leave removes the runner's entry from the store, as a runner does that leaves without a
// report that it is draining. The runner goes on to serve.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	r.store.put("keyed.servers", r.id, nil)
}

// exit ends the runner with all its connections.
func (r *runner) exit() { _ = r.server.Close() }

func (r *runner) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/report" {
		writeJSON(w, map[string]any{"stage": r.stage, "busy": false, "seq": 0, "born": r.born})
		return
	}
	attempt := req.Header.Get("Attempt-Id")
	if attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{attempt, req.Method, req.RequestURI, req.Host, time.Now()})
	r.mu.Unlock()
	note("runner %s runs %s: %s %s, host %s", r.id, attempt, req.Method, req.RequestURI, req.Host)
	r.serve(r, w, req)
}

// serveWhole answers with a whole body after the runner's work.
func serveWhole(r *runner, w http.ResponseWriter, req *http.Request) {
	select {
	case <-time.After(r.work):
	case <-req.Context().Done():
		return
	}
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "seal-"+r.id)
	_, _ = w.Write([]byte("answer of " + r.id))
}

// serveUnframed answers with a stream of events that has no length and ends with its
// connection.
func serveUnframed(r *runner, w http.ResponseWriter, req *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", req.Header.Get("Attempt-Id"), r.id)
	for i := 1; i <= eventCount && err == nil; i++ {
		time.Sleep(r.work)
		_, err = fmt.Fprintf(conn, "id: %d\ndata: token %d\n\n", i, i)
	}
}
