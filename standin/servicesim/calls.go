package servicesim

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Path segments that name the operations. Segments before them, such as the
// prefix of a route, are ignored.
const (
	segmentReservations = "reservations" // POST, not idempotent
	segmentPayouts      = "payouts"      // POST, not idempotent
	segmentStatus       = "status"       // GET status/KEY
	segmentStock        = "stock"        // GET stock/ITEM
)

const maxBodyBytes = 8 << 20

// Execution is one executed call, as responses contain it.
type Execution struct {
	// Number counts the executions of a pool from 1.
	Number         int    `json:"number"`
	Operation      string `json:"operation"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	CallTag        string `json:"call_tag,omitempty"`
}

// Status is the response to a status lookup.
type Status struct {
	IdempotencyKey string      `json:"idempotency_key"`
	Executions     []Execution `json:"executions"`
}

// Stock is the response to a stock lookup.
type Stock struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

type storeKey struct {
	organisation string
	key          string
}

// Store records the executions of all services of one pool. It does not
// deduplicate them: that is the task of the hosts, which the checkers verify.
type Store struct {
	mu     sync.Mutex
	number int
	byKey  map[storeKey][]Execution
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{byKey: map[storeKey][]Execution{}}
}

func (t *Store) execute(organisation string, x Execution) Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	x.Number = t.number
	if x.IdempotencyKey != "" {
		k := storeKey{organisation, x.IdempotencyKey}
		t.byKey[k] = append(t.byKey[k], x)
	}
	return x
}

func (t *Store) find(organisation, key string) []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution{}, t.byKey[storeKey{organisation, key}]...)
}

// parseOperation returns the operation that a path names and its argument. The name
// is empty if the path names none.
func parseOperation(path string) (name, argument string) {
	segments := strings.Split(strings.Trim(path, "/"), "/")
	for i, segment := range segments {
		switch segment {
		case segmentReservations, segmentPayouts:
			return segment, ""
		case segmentStatus, segmentStock:
			return segment, strings.Join(segments[i+1:], "/")
		}
	}
	return "", ""
}

func (s *Service) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBodyBytes))
	event := record.Request(record.Received, string(s.id), q)
	event.CallTag = record.CallTag(append(body, q.URL.Path...))
	if json.Valid(body) {
		event.Body = body
	}
	s.recorder.Add(event)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(engine.HeaderRequestID, q.Header.Get(engine.HeaderRequestID))
	faults := s.takeFaults(q.Method)
	if faults.RefuseAll {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	s.pause(milliseconds(faults.DelayMS + s.config.WorkMS))
	if faults.CrashBeforeExecution > 0 || strings.Contains(string(body), s.config.CrashMarker) {
		s.Crash("crash before the execution", event.RequestID)
		panic(http.ErrAbortHandler)
	}
	status, value := s.handleOperation(q, &event)
	if faults.CrashAfterExecution > 0 {
		s.Crash("crash after the execution", event.RequestID)
	}
	if faults.LoseAnswers > 0 || faults.CrashAfterExecution > 0 {
		panic(http.ErrAbortHandler)
	}
	s.pause(milliseconds(faults.AnswerDelayMS))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// takeFaults returns the faults that apply to this call and decrements the
// counters of those that apply to a number of calls. Lookups do not use them up.
func (s *Service) takeFaults(method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if method != http.MethodPost {
		f.CrashBeforeExecution, f.CrashAfterExecution, f.LoseAnswers = 0, 0, 0
		return f
	}
	s.faults.CrashBeforeExecution = max(f.CrashBeforeExecution-1, 0)
	s.faults.CrashAfterExecution = max(f.CrashAfterExecution-1, 0)
	s.faults.LoseAnswers = max(f.LoseAnswers-1, 0)
	return f
}

func (s *Service) handleOperation(q *http.Request, event *record.Event) (int, any) {
	name, argument := parseOperation(q.URL.Path)
	isExecution := name == segmentReservations || name == segmentPayouts
	switch {
	case isExecution && q.Method == http.MethodPost:
		return http.StatusCreated, s.execute(name, event)
	case name == segmentStatus && q.Method == http.MethodGet:
		return http.StatusOK, Status{argument, s.store.find(string(event.Organisation), argument)}
	case name == segmentStock && q.Method == http.MethodGet:
		return http.StatusOK, Stock{argument, StockQuantity(argument)}
	default:
		return http.StatusNotFound, map[string]string{"error": "no such operation"}
	}
}

func (s *Service) execute(name string, event *record.Event) Execution {
	x := s.store.execute(string(event.Organisation), Execution{
		Operation: name, IdempotencyKey: event.IdempotencyKey, CallTag: event.CallTag,
	})
	executed := *event
	executed.Kind = record.Executed
	executed.TimeNS = 0
	executed.Detail = name
	s.recorder.Add(executed)
	return x
}

// StockQuantity computes the quantity from the name of the item, so that a client
// can check a response.
func StockQuantity(item string) int {
	sum := 0
	for _, b := range []byte(item) {
		sum += int(b)
	}
	return sum
}
