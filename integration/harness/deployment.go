package harness

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/load"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin"
)

// Config describes a deployment of processes.
type Config struct {
	// Dir receives the settings and output files of all processes.
	Dir      string
	StandIn  standin.Config
	Hosts    int
	Entities Entities
	// Timings is the section of the hosts' settings file, such as "lease": "3s".
	Timings map[string]string
	// Scheduling is the section of the hosts' settings file, such as
	// "plan_interval": "200ms".
	Scheduling map[string]string
	LogLevel   string
	// CallTimeout is the time after which clients abandon a call. Default 30 s.
	CallTimeout time.Duration
	// Limits are the time limits that the checkers apply.
	Limits check.Limits
}

const (
	defaultCallTimeout = 30 * time.Second
	hostStopTimeout    = 5 * time.Second
	// platformTimeout limits the harness's own platform calls. It is longer than
	// the hosts' timeout, since a busy machine may be slower to respond.
	platformTimeout = 30 * time.Second
)

// Deployment is a running deployment of processes.
type Deployment struct {
	StandIn *StandIn
	Hosts   []*Host
	Client  *load.Client

	config   Config
	binaries Binaries
	network  *network
	platform *platform.Client
	// stopProbes stops the probe loop and waits for it to return.
	stopProbes func()
	mu         sync.Mutex
	actions    []check.Action
	changes    []check.Change
	probes     []check.Probe
}

// New starts the simulated components, writes the entities to the log and
// prepares the hosts without starting them.
func New(ctx context.Context, b Binaries, c Config) (*Deployment, error) {
	if c.LogLevel == "" {
		c.LogLevel = "info"
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	d := &Deployment{config: c, binaries: b, network: newNetwork()}
	d.Client = load.NewClient(c.CallTimeout, c.Entities.Paths())
	for i := range c.Hosts {
		d.config.StandIn.Platform.Hosts = append(d.config.StandIn.Platform.Hosts, hostID(i))
	}
	var err error
	d.StandIn, err = startStandIn(c.Dir, b.StandIn, &d.config.StandIn)
	if err != nil {
		return nil, err
	}
	d.platform = platform.NewClient(platform.ClientConfig{Address: d.StandIn.Addresses.Platform, Timeout: platformTimeout})
	if err := d.prepare(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func hostID(i int) model.HostID { return model.HostID(fmt.Sprintf("h%d", i+1)) }

func (d *Deployment) prepare(ctx context.Context) error {
	if err := d.bootstrap(ctx); err != nil {
		return err
	}
	centres := d.config.StandIn.DataCentres
	for i := range d.config.Hosts {
		h, err := d.newHost(hostID(i), centres[i%len(centres)])
		if err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, h)
	}
	return nil
}

// StartHosts starts all hosts and waits until they accept connections.
func (d *Deployment) StartHosts(ctx context.Context) error {
	var starting errgroup.Group
	for _, h := range d.Hosts {
		starting.Go(func() error {
			if err := h.Start(); err != nil {
				return err
			}
			return h.Ready(ctx)
		})
	}
	if err := starting.Wait(); err != nil {
		return err
	}
	d.startProbes()
	return nil
}

func (d *Deployment) startProbes() {
	ctx, cancel := context.WithCancel(context.Background())
	var probing sync.WaitGroup
	probing.Go(func() { d.probe(ctx) })
	d.stopProbes = func() {
		cancel()
		probing.Wait()
	}
}

// Host returns the host with the given ID.
func (d *Deployment) Host(id model.HostID) (*Host, error) {
	for _, h := range d.Hosts {
		if h.ID == id {
			return h, nil
		}
	}
	return nil, eris.Errorf("no host %q", id)
}

// Targets lists the hosts to which a load balancer would send calls.
func (d *Deployment) Targets() []load.Target {
	var targets []load.Target
	for _, h := range d.Hosts {
		if h.acceptsCalls() {
			targets = append(targets, h.target())
		}
	}
	return targets
}

// peerEndpoint returns the endpoint of the host that opened a peer connection.
func (d *Deployment) peerEndpoint(c net.Conn) endpoint {
	var pids []int
	hosts := map[int]model.HostID{}
	for _, h := range d.Hosts {
		if pid := h.pid(); pid != 0 {
			pids = append(pids, pid)
			hosts[pid] = h.ID
		}
	}
	return endpoint{hosts[socketOwner(c, pids)], LinkPeers}
}

func (d *Deployment) recordAction(kind check.ActionKind, host model.HostID, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.actions = append(d.actions, check.Action{TimeNS: time.Now().UnixNano(), Kind: kind, Host: host, Detail: detail})
}

// Recording returns everything recorded so far.
func (d *Deployment) Recording(ctx context.Context) (*check.Recording, error) {
	events, err := d.StandIn.Events(ctx, 0)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return &check.Recording{
		Events:        events,
		Calls:         d.Client.Calls(),
		Actions:       append([]check.Action(nil), d.actions...),
		Changes:       append([]check.Change(nil), d.changes...),
		Probes:        append([]check.Probe(nil), d.probes...),
		Keys:          d.config.Entities.allKeys(),
		Organisations: d.config.Entities.Organisations,
		Limits:        d.config.Limits,
	}, nil
}

// Close stops all processes that the deployment started.
func (d *Deployment) Close() {
	if d.stopProbes != nil {
		d.stopProbes()
	}
	var closing sync.WaitGroup
	for _, h := range d.Hosts {
		closing.Go(func() { h.close(hostStopTimeout) })
	}
	closing.Wait()
	d.network.close()
	if d.StandIn != nil {
		d.StandIn.process.stop(standInStopTimeout)
	}
}

// ModelPool returns the name of the engine pool.
func (d *Deployment) ModelPool() model.PoolName { return d.config.Entities.Model }
