package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/platformsim"
	"github.com/redwingpath/redwingpath/standin/record"
)

const (
	standInStartTimeout = time.Minute
	standInStopTimeout  = 5 * time.Second
	adminTimeout        = 30 * time.Second
)

// StandIn is the process that runs the simulated components.
type StandIn struct {
	process   *process
	Addresses standin.Addresses
	http      *http.Client
}

// startStandIn starts the simulated components and waits until they print their
// addresses.
func startStandIn(dir, program string, c *standin.Config) (*StandIn, error) {
	settings := filepath.Join(dir, "standin.json")
	data, err := json.MarshalIndent(c, "", "\t")
	if err != nil {
		return nil, eris.Wrap(err, "encode stand-in settings")
	}
	if err := os.WriteFile(settings, data, 0o644); err != nil {
		return nil, eris.Wrap(err, "write stand-in settings")
	}
	p, err := startProcess(dir, "standin", program, "-settings", settings)
	if err != nil {
		return nil, err
	}
	s := &StandIn{process: p, http: &http.Client{Timeout: adminTimeout}}
	select {
	case line := <-p.firstLine:
		return s, eris.Wrap(json.Unmarshal([]byte(line), &s.Addresses), "decode stand-in addresses")
	case <-p.ended:
		return nil, eris.Wrap(p.err, "stand-in exited during startup")
	case <-time.After(standInStartTimeout):
		p.stop(standInStopTimeout)
		return nil, eris.New("stand-in printed no addresses before the timeout")
	}
}

// Events returns the recorded events after a sequence number.
func (s *StandIn) Events(ctx context.Context, after uint64) ([]record.Event, error) {
	var events []record.Event
	return events, s.get(ctx, fmt.Sprintf("%s?after=%d", standin.PathAdminEvents, after), &events)
}

// Backends lists the backend servers, without the lag of the platform's list.
func (s *StandIn) Backends(ctx context.Context) ([]platform.Backend, error) {
	var backends []platform.Backend
	return backends, s.get(ctx, standin.PathAdminBackends, &backends)
}

// SetPlatformFault replaces the faults of an interface or group of interfaces of the
// platform.
func (s *StandIn) SetPlatformFault(ctx context.Context, injection fault.Injection) error {
	return s.post(ctx, standin.PathAdminPlatformFault, injection, nil)
}

// ClearFaults clears all faults.
func (s *StandIn) ClearFaults(ctx context.Context) error {
	return s.post(ctx, standin.PathAdminClearFaults, struct{}{}, nil)
}

// EngineFault replaces the faults of engines.
func (s *StandIn) EngineFault(ctx context.Context, f standin.EngineFault) error {
	return s.post(ctx, standin.PathAdminEngineFault, f, nil)
}

// ServiceFault replaces the faults of services.
func (s *StandIn) ServiceFault(ctx context.Context, f standin.ServiceFault) error {
	return s.post(ctx, standin.PathAdminServiceFault, f, nil)
}

// ApplyAction crashes or hangs a backend server.
func (s *StandIn) ApplyAction(ctx context.Context, id model.BackendID, a standin.Action) error {
	return s.post(ctx, standin.PathAdminBackendAction, standin.BackendAction{Backend: id, Action: a}, nil)
}

// Reclaim reclaims the spot servers of a data centre after a notice.
func (s *StandIn) Reclaim(ctx context.Context, dc model.DataCentreID, notice time.Duration) ([]model.BackendID, error) {
	var ids []model.BackendID
	r := standin.Reclaim{DataCentre: dc, NoticeMS: notice.Milliseconds()}
	return ids, s.post(ctx, standin.PathAdminReclaim, r, &ids)
}

// SetHost sets the state of an entry host in the platform's list.
func (s *StandIn) SetHost(ctx context.Context, id model.HostID, state platformsim.HostState) error {
	return s.post(ctx, standin.PathAdminHost, standin.HostChange{Host: id, State: state}, nil)
}

func (s *StandIn) get(ctx context.Context, path string, into any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Addresses.Admin+path, nil)
	if err != nil {
		return eris.Wrap(err, "build admin request")
	}
	return s.do(q, into)
}

func (s *StandIn) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode admin request")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Addresses.Admin+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build admin request")
	}
	return s.do(q, into)
}

func (s *StandIn) do(q *http.Request, into any) error {
	response, err := s.http.Do(q)
	if err != nil {
		return eris.Wrap(err, "admin call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(response.Body)
		return eris.Errorf("admin call %s: %s: %s", q.URL.Path, response.Status, message)
	}
	if into == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(into), "decode admin response")
}
