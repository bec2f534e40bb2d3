package servicesim

import (
	"net/http"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/netfault"
	"github.com/redwingpath/redwingpath/standin/record"
)

// relistenInterval is the time between attempts to listen on the same port again
// after a crash.
const relistenInterval = 50 * time.Millisecond

// Service is a running simulated service.
type Service struct {
	id       model.BackendID
	config   Config
	recorder *record.Recorder
	store    *Store
	address  string
	server   *http.Server
	stop     chan struct{}
	workers  sync.WaitGroup

	mu       sync.Mutex
	listener *netfault.Listener
	closed   bool
	down     bool
	faults   Faults
}

// Start starts a simulated service. The services of one pool share a store.
func Start(id model.BackendID, c Config, store *Store, r *record.Recorder) (*Service, error) {
	c.setDefaults()
	listener, err := netfault.Listen(c.Address)
	if err != nil {
		return nil, err
	}
	s := &Service{
		id:       id,
		config:   c,
		recorder: r,
		store:    store,
		address:  listener.Addr().String(),
		stop:     make(chan struct{}),
		listener: listener,
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// URL returns the service's base URL.
func (s *Service) URL() string { return "http://" + s.address }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Hang silences the open connections; connections opened later work.
func (s *Service) Hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Silence()
}

// Crash resets all connections; the service listens again on the same address
// after the restart time. The recorded executions survive.
func (s *Service) Crash(reason string, request model.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.closed {
		return
	}
	s.recorder.Add(record.Event{Kind: record.Crashed, Component: string(s.id), RequestID: request, Detail: reason})
	s.down = true
	_ = s.listener.Close()
	s.listener.Reset()
	if s.config.RestartMS >= 0 {
		s.workers.Add(1)
		go s.restart()
	}
}

func (s *Service) restart() {
	defer s.workers.Done()
	wait := milliseconds(s.config.RestartMS)
	for s.pause(wait) {
		listener, err := netfault.Listen(s.address)
		if err == nil {
			s.resumeServing(listener)
			return
		}
		wait = relistenInterval
	}
}

func (s *Service) resumeServing(l *netfault.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	s.listener = l
	s.down = false
	go func() { _ = s.server.Serve(l) }()
}

// Close stops the service at once and resets its connections.
func (s *Service) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.stop)
	listener := s.listener
	s.mu.Unlock()
	err := s.server.Close()
	listener.Reset()
	s.workers.Wait()
	return err
}

// pause waits for a duration. It reports false if the service is closed first.
func (s *Service) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.stop:
		return false
	}
}
