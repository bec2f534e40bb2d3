package standin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/netfault"
	"github.com/redwingpath/redwingpath/standin/platformsim"
	"github.com/redwingpath/redwingpath/standin/record"
	"github.com/redwingpath/redwingpath/standin/servicesim"
)

// Deployment is a running simulated deployment.
type Deployment struct {
	config   Config
	recorder *record.Recorder
	platform *platformsim.Platform
	admin    *http.Server
	adminURL string
	pools    map[model.PoolName]PoolConfig
	stores   map[model.PoolName]*servicesim.Store

	mu          sync.Mutex
	engines     map[model.BackendID]*enginesim.Engine
	services    map[model.BackendID]*servicesim.Service
	launchCount uint64
	closed      bool
}

// Start runs a deployment until ctx ends or Close is called.
func Start(ctx context.Context, c Config) (*Deployment, error) {
	d := &Deployment{
		config:   c,
		pools:    map[model.PoolName]PoolConfig{},
		stores:   map[model.PoolName]*servicesim.Store{},
		engines:  map[model.BackendID]*enginesim.Engine{},
		services: map[model.BackendID]*servicesim.Service{},
	}
	if !c.NoRecording {
		d.recorder = record.New()
	}
	if err := d.start(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	context.AfterFunc(ctx, func() { _ = d.Close() })
	return d, nil
}

func (d *Deployment) start() error {
	poolInfo := map[model.PoolName]platformsim.PoolInfo{}
	for _, pool := range d.config.Pools {
		if pool.Kind != model.PoolEngine && pool.Kind != model.PoolService {
			return eris.Errorf("pool %q: unknown kind %q", pool.Name, pool.Kind)
		}
		d.pools[pool.Name] = pool
		d.stores[pool.Name] = servicesim.NewStore()
		poolInfo[pool.Name] = platformsim.PoolInfo{Kind: pool.Kind, Region: d.config.Region}
	}
	p, err := platformsim.Start(d.config.Platform, d.recorder, d, poolInfo)
	if err != nil {
		return err
	}
	d.platform = p
	for _, pool := range d.config.Pools {
		if err := d.startPool(&pool); err != nil {
			return err
		}
	}
	return d.startAdmin()
}

func (d *Deployment) startPool(pool *PoolConfig) error {
	if len(d.config.DataCentres) == 0 {
		return eris.New("no data centres")
	}
	for i := range pool.Ordinary + pool.Preemptible {
		dc := d.config.DataCentres[i%len(d.config.DataCentres)]
		kind := platform.Ordinary
		if i >= pool.Ordinary {
			kind = platform.Preemptible
		}
		b := platform.Backend{
			ID:         model.BackendID(fmt.Sprintf("%s-%s-%d", pool.Name, dc, i+1)),
			Pool:       pool.Name,
			PoolKind:   pool.Kind,
			Region:     d.config.Region,
			DataCentre: dc,
			Kind:       kind,
			State:      platform.BackendLive,
		}
		url, err := d.launch(&b, false)
		if err != nil {
			return err
		}
		b.URL = url
		d.platform.AddInitial(b)
	}
	return nil
}

// Launch implements platformsim.Launcher.
func (d *Deployment) Launch(b platform.Backend) (string, error) {
	return d.launch(&b, true)
}

// launch starts an engine or service and returns its base URL. With fetch an engine
// fetches its model from the weight store before it serves requests.
func (d *Deployment) launch(b *platform.Backend, fetch bool) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return "", eris.New("deployment is closed")
	}
	pool := d.pools[b.Pool]
	d.launchCount++
	if b.PoolKind == model.PoolService {
		s, err := servicesim.Start(b.ID, pool.Service, d.stores[b.Pool], d.recorder)
		if err != nil {
			return "", err
		}
		d.services[b.ID] = s
		return s.URL(), nil
	}
	settings := pool.Engine
	settings.Seed += d.launchCount
	id := enginesim.Identity{Backend: b.ID, Model: b.Pool, WeightStoreURL: d.platform.URL(), FetchAtStart: fetch}
	e, err := enginesim.Start(id, settings, d.recorder)
	if err != nil {
		return "", err
	}
	d.engines[b.ID] = e
	return e.URL(), nil
}

// Stop implements platformsim.Launcher.
func (d *Deployment) Stop(id model.BackendID) {
	d.mu.Lock()
	e, s := d.engines[id], d.services[id]
	delete(d.engines, id)
	delete(d.services, id)
	d.mu.Unlock()
	if e != nil {
		_ = e.Close()
	}
	if s != nil {
		_ = s.Close()
	}
}

// Platform returns the simulated platform.
func (d *Deployment) Platform() *platformsim.Platform { return d.platform }

// Recorder returns the recorder of the events. It is nil with NoRecording.
func (d *Deployment) Recorder() *record.Recorder { return d.recorder }

// Engine returns a running engine.
func (d *Deployment) Engine(id model.BackendID) (*enginesim.Engine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, found := d.engines[id]
	return e, found
}

// Service returns a running service.
func (d *Deployment) Service(id model.BackendID) (*servicesim.Service, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.services[id]
	return s, found
}

// Addresses returns the current base URLs of the deployment's components.
func (d *Deployment) Addresses() Addresses {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := Addresses{Platform: d.platform.URL(), Admin: d.adminURL, Backends: map[model.BackendID]string{}}
	for id, e := range d.engines {
		a.Backends[id] = e.URL()
	}
	for id, s := range d.services {
		a.Backends[id] = s.URL()
	}
	return a
}

// Close stops all components at once.
func (d *Deployment) Close() error {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil
	}
	d.closed = true
	engines := maps.Clone(d.engines)
	services := maps.Clone(d.services)
	d.mu.Unlock()
	var failures []error
	if d.platform != nil {
		failures = append(failures, d.platform.Close())
	}
	for _, e := range engines {
		failures = append(failures, e.Close())
	}
	for _, s := range services {
		failures = append(failures, s.Close())
	}
	if d.admin != nil {
		failures = append(failures, d.admin.Close())
	}
	return errors.Join(failures...)
}

func (d *Deployment) startAdmin() error {
	address := d.config.AdminAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := netfault.Listen(address)
	if err != nil {
		return err
	}
	d.adminURL = "http://" + listener.Addr().String()
	d.admin = &http.Server{Handler: d.adminHandler()}
	go func() { _ = d.admin.Serve(listener) }()
	return nil
}
