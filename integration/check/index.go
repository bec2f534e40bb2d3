package check

import (
	"encoding/json"
	"net/http"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/record"
)

const platformComponent = "platform"

// isWork reports whether an event is the arrival of a request at a backend
// server. Orders, cancellations and KV cache transfers do not count.
func isWork(e *record.Event) bool {
	if e.Kind != record.Received || e.Component == platformComponent {
		return false
	}
	switch e.Path {
	case engine.PathCancel, engine.PathOrders, engine.PathKVExport, engine.PathKVImport:
		return false
	}
	return true
}

// isExecution reports whether an event shows that a backend server ran a request.
func isExecution(e *record.Event) bool {
	return e.Kind == record.RunStarted || e.Kind == record.Executed
}

// eventsWhere returns the matching events in order.
func (r *Recording) eventsWhere(match func(*record.Event) bool) []*record.Event {
	var found []*record.Event
	for i := range r.Events {
		if match(&r.Events[i]) {
			found = append(found, &r.Events[i])
		}
	}
	return found
}

func (r *Recording) eventsOfKind(kind record.Kind) []*record.Event {
	return r.eventsWhere(func(e *record.Event) bool { return e.Kind == kind })
}

// callsByTag groups the attempts of each call.
func (r *Recording) callsByTag() map[string][]*Call {
	calls := map[string][]*Call{}
	for i := range r.Calls {
		c := &r.Calls[i]
		calls[c.Tag] = append(calls[c.Tag], c)
	}
	return calls
}

func (r *Recording) keysByID() map[model.KeyID]*Key {
	keys := map[model.KeyID]*Key{}
	for i := range r.Keys {
		keys[r.Keys[i].ID] = &r.Keys[i]
	}
	return keys
}

// decodeBody decodes the body of an event. It returns false if that fails.
func decodeBody[T any](e *record.Event) (T, bool) {
	var value T
	err := json.Unmarshal(e.Body, &value)
	return value, err == nil
}

// eventsOfCall returns those of the events with the call's tag that belong to
// this attempt: the ones with the request ID of the response. Without a request
// ID the events can be attributed only if the call was sent once.
func eventsOfCall(c *Call, attempts int, tagged []*record.Event) []*record.Event {
	var found []*record.Event
	for _, e := range tagged {
		matches := e.RequestID == c.RequestID
		if c.RequestID == "" {
			matches = attempts == 1
		}
		if matches {
			found = append(found, e)
		}
	}
	return found
}

// eventsByTag groups the matching events by call tag.
func (r *Recording) eventsByTag(match func(*record.Event) bool) map[string][]*record.Event {
	found := map[string][]*record.Event{}
	for _, e := range r.eventsWhere(match) {
		if e.CallTag != "" {
			found[e.CallTag] = append(found[e.CallTag], e)
		}
	}
	return found
}

func succeeded(c *Call) bool {
	return c.Status >= http.StatusOK && c.Status < http.StatusMultipleChoices
}

// isChat reports whether a call is a model request, which can be resumed.
func isChat(c *Call) bool {
	return c.Operation == "chat" || c.Operation == "public_chat"
}
