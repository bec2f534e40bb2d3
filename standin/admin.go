package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/platformsim"
	"github.com/redwingpath/redwingpath/standin/record"
	"github.com/redwingpath/redwingpath/standin/servicesim"
)

// HTTP paths of the admin endpoint. All bodies are JSON.
const (
	PathAdminEvents        = "/admin/events"         // GET ?after= -> []record.Event
	PathAdminAddresses     = "/admin/addresses"      // GET -> Addresses
	PathAdminBackends      = "/admin/backends"       // GET -> []platform.Backend without lag
	PathAdminPlatformFault = "/admin/fault/platform" // POST fault.Injection
	PathAdminClearFaults   = "/admin/fault/clear"    // POST, clears the faults of the platform, the engines and the services
	PathAdminEngineFault   = "/admin/fault/engine"   // POST EngineFault
	PathAdminServiceFault  = "/admin/fault/service"  // POST ServiceFault
	PathAdminBackendAction = "/admin/backend"        // POST BackendAction
	PathAdminReclaim       = "/admin/reclaim"        // POST Reclaim -> []model.BackendID
	PathAdminHost          = "/admin/host"           // POST HostChange
	PathAdminDropLog       = "/admin/droplog"        // POST DropLog
)

// EngineFault replaces the faults of an engine. An empty Backend means all engines.
type EngineFault struct {
	Backend model.BackendID  `json:"backend,omitempty"`
	Faults  enginesim.Faults `json:"faults"`
}

// ServiceFault replaces the faults of a service. An empty Backend means all services.
type ServiceFault struct {
	Backend model.BackendID   `json:"backend,omitempty"`
	Faults  servicesim.Faults `json:"faults"`
}

// Action is a fault of a backend server that takes effect at once.
type Action string

// Actions on backend servers.
const (
	// ActionCrash resets all connections and restarts the backend server.
	ActionCrash Action = "crash"
	// ActionHang silences the open connections; connections opened later work.
	ActionHang Action = "hang"
)

// BackendAction applies an action to a backend server. The Backend "platform" stands
// for the platform, which supports only ActionHang.
type BackendAction struct {
	Backend model.BackendID `json:"backend"`
	Action  Action          `json:"action"`
}

// Reclaim reclaims the preemptible backend servers of a data centre. An empty data
// centre means all of them; a notice of 0 means the configured one.
type Reclaim struct {
	DataCentre model.DataCentreID `json:"data_centre"`
	NoticeMS   int64              `json:"notice_ms,omitempty"`
}

// HostChange sets the state of an entry host in the platform's list.
type HostChange struct {
	Host  model.HostID          `json:"host"`
	State platformsim.HostState `json:"state"`
}

// DropLog drops log entries before an offset, as retention does.
type DropLog struct {
	Before model.Offset `json:"before"`
}

func (d *Deployment) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathAdminEvents, func(w http.ResponseWriter, q *http.Request) {
		after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
		events := d.recorder.Since(after)
		if events == nil {
			events = []record.Event{}
		}
		reply(w, events)
	})
	mux.HandleFunc("GET "+PathAdminAddresses, func(w http.ResponseWriter, _ *http.Request) { reply(w, d.Addresses()) })
	mux.HandleFunc("GET "+PathAdminBackends, func(w http.ResponseWriter, _ *http.Request) { reply(w, d.platform.Backends()) })
	mux.HandleFunc("POST "+PathAdminPlatformFault, post(d, func(s fault.Injection) (any, error) {
		d.platform.Faults().Put(s)
		return nil, nil
	}))
	mux.HandleFunc("POST "+PathAdminClearFaults, post(d, func(struct{}) (any, error) {
		d.clearFaults()
		return nil, nil
	}))
	mux.HandleFunc("POST "+PathAdminEngineFault, post(d, d.setEngineFault))
	mux.HandleFunc("POST "+PathAdminServiceFault, post(d, d.setServiceFault))
	mux.HandleFunc("POST "+PathAdminBackendAction, post(d, d.applyAction))
	mux.HandleFunc("POST "+PathAdminReclaim, post(d, func(r Reclaim) (any, error) {
		return d.platform.Reclaim(r.DataCentre, time.Duration(r.NoticeMS)*time.Millisecond), nil
	}))
	mux.HandleFunc("POST "+PathAdminHost, post(d, func(h HostChange) (any, error) {
		d.platform.SetHost(h.Host, h.State)
		return nil, nil
	}))
	mux.HandleFunc("POST "+PathAdminDropLog, post(d, func(r DropLog) (any, error) {
		d.platform.DropLogBefore(r.Before)
		return nil, nil
	}))
	return mux
}

// post returns a handler that decodes a request, records it as a FaultSet event,
// applies it and replies with the result.
func post[T any](d *Deployment, apply func(T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var request T
		if err := json.NewDecoder(q.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.recorder.AddValue(record.Event{Kind: record.FaultSet, Component: "admin", Path: q.URL.Path}, request)
		result, err := apply(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		reply(w, result)
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// clearFaults clears the faults of the platform, the engines and the services.
func (d *Deployment) clearFaults() {
	d.platform.Faults().Clear()
	_, _ = d.setEngineFault(EngineFault{})
	_, _ = d.setServiceFault(ServiceFault{})
}

func (d *Deployment) setEngineFault(f EngineFault) (any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := f.Backend == ""
	for id, e := range d.engines {
		if f.Backend == "" || f.Backend == id {
			e.SetFaults(f.Faults)
			found = true
		}
	}
	return nil, errorIfNotFound(found, f.Backend)
}

func (d *Deployment) setServiceFault(f ServiceFault) (any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := f.Backend == ""
	for id, s := range d.services {
		if f.Backend == "" || f.Backend == id {
			s.SetFaults(f.Faults)
			found = true
		}
	}
	return nil, errorIfNotFound(found, f.Backend)
}

func errorIfNotFound(found bool, id model.BackendID) error {
	if found {
		return nil
	}
	return fmt.Errorf("no backend server %q", id)
}

// faultTarget is a backend server that can crash and hang.
type faultTarget interface {
	Crash(reason string, request model.RequestID)
	Hang()
}

func (d *Deployment) applyAction(a BackendAction) (any, error) {
	if a.Backend == "platform" && a.Action == ActionHang {
		return d.platform.Listener().Silence(), nil
	}
	target, found := d.faultTarget(a.Backend)
	switch {
	case !found:
		return nil, errorIfNotFound(false, a.Backend)
	case a.Action == ActionCrash:
		target.Crash("ordered by the admin endpoint", "")
	case a.Action == ActionHang:
		target.Hang()
	default:
		return nil, fmt.Errorf("unknown action %q", a.Action)
	}
	return nil, nil
}

func (d *Deployment) faultTarget(id model.BackendID) (faultTarget, bool) {
	if e, found := d.Engine(id); found {
		return e, true
	}
	if s, found := d.Service(id); found {
		return s, true
	}
	return nil, false
}
