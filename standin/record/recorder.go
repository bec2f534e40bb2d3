package record

import (
	"encoding/json"
	"net/http"
	"regexp"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

var callTagPattern = regexp.MustCompile(`call=([A-Za-z0-9_-]+)`)

// CallTag returns the ID in the tag "call=ID" that a load generator puts into request
// texts, or "" if there is no tag.
func CallTag(body []byte) string {
	m := callTagPattern.FindSubmatch(body)
	if m == nil {
		return ""
	}
	return string(m[1])
}

// Recorder collects events. It is safe for concurrent use. A nil Recorder
// discards events, for measurements that recording would dominate.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{}
}

// Add records an event. It sets Seq and, unless it is set already, TimeNS.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.TimeNS == 0 {
		e.TimeNS = time.Now().UnixNano()
	}
	e.Seq = uint64(len(r.events) + 1)
	r.events = append(r.events, e)
}

// AddValue records an event whose body is the JSON encoding of a value.
func (r *Recorder) AddValue(e Event, value any) {
	if r == nil {
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		e.Detail += " body not encodable: " + err.Error()
	}
	e.Body = data
	r.Add(e)
}

// Since returns the events after a sequence number.
func (r *Recorder) Since(seq uint64) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if seq >= uint64(len(r.events)) {
		return nil
	}
	return append([]Event(nil), r.events[seq:]...)
}

// Request returns an event of the given kind that describes an HTTP request.
func Request(kind Kind, component string, q *http.Request) Event {
	return Event{
		Kind:           kind,
		Component:      component,
		Method:         q.Method,
		Path:           q.URL.Path,
		Query:          q.URL.RawQuery,
		Header:         q.Header.Clone(),
		RequestID:      model.RequestID(q.Header.Get(engine.HeaderRequestID)),
		Organisation:   model.OrganisationID(q.Header.Get(engine.HeaderOrganisation)),
		IdempotencyKey: q.Header.Get(engine.HeaderIdempotencyKey),
	}
}
