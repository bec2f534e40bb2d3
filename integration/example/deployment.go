// Package example runs the deployments of examples/ as processes on loopback: the
// simulated components, and entry hosts with the example's settings file in which
// addresses and other values of the machine are replaced.
package example

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/platformsim"
)

// Names of the examples.
const (
	Duelas       = "duelas"
	RefundOffice = "refund-office"
)

const (
	standInStartTimeout = 10 * time.Second
	readyPollInterval   = 5 * time.Millisecond
	callTimeout         = 30 * time.Second
)

// Config describes a deployment of an example.
type Config struct {
	Example  string
	Binaries harness.Binaries
	// Root is the root of the repository.
	Root string
	// Dir receives settings, certificates and logs.
	Dir   string
	Hosts int
	// Engines and Services are the numbers of simulated engines and plain services,
	// Engine the configuration of each engine.
	Engines  int
	Services int
	Engine   enginesim.Config
	// Limits is a limits section to add to the settings, such as
	// `"limits": {"body_time": "1s"},`. The refund office's settings have one already.
	Limits string
	// NoRecording disables the event recording of the simulated components.
	NoRecording bool
}

// Deployment is a running example.
type Deployment struct {
	Root      string
	Hosts     []*Host
	Addresses standin.Addresses
	// HTTP is a client that trusts the certificates of callers' and operators' listeners.
	HTTP *http.Client
	// Model is the name of the engine pool.
	Model model.PoolName

	config      Config
	names       names
	standIn     *Process
	token       string
	tokenDigest string
}

// Start starts the simulated components and prepares the hosts without starting them.
// The caller must close the deployment unless Start returns an error.
func Start(c Config) (*Deployment, error) {
	n, known := examples[c.Example]
	if !known {
		return nil, eris.Errorf("no example %q", c.Example)
	}
	d := &Deployment{Root: c.Root, Model: n.model, config: c, names: n}
	var err error
	if d.token, d.tokenDigest, err = operator.NewToken(); err != nil {
		return nil, err
	}
	if err := d.prepareTLS(); err != nil {
		return nil, err
	}
	if err := d.startStandIn(); err != nil {
		return nil, err
	}
	for i := range c.Hosts {
		if err := d.addHost(i); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func (d *Deployment) prepareTLS() error {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	d.HTTP = &http.Client{Transport: transport, Timeout: callTimeout}
	if !d.names.tls {
		return nil
	}
	if err := writeCertificates(d.config.Dir, d.names.serverName); err != nil {
		return err
	}
	data, err := os.ReadFile(d.publicCAPath())
	if err != nil {
		return eris.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return nil
}

func (d *Deployment) publicCAPath() string { return filepath.Join(d.config.Dir, publicCAFile) }

func (d *Deployment) standInConfig() standin.Config {
	c := standin.Config{
		NoRecording: d.config.NoRecording, Region: d.names.region, DataCentres: d.names.centres, Platform: platformsim.Config{},
		Pools: []standin.PoolConfig{
			{Name: d.names.model, Kind: model.PoolEngine, Ordinary: d.config.Engines, Engine: d.config.Engine},
			{Name: d.names.service, Kind: model.PoolService, Ordinary: d.config.Services},
		},
	}
	for i := range d.config.Hosts {
		c.Platform.Hosts = append(c.Platform.Hosts, d.hostID(i))
	}
	return c
}

func (d *Deployment) startStandIn() error {
	data, err := json.Marshal(d.standInConfig())
	if err != nil {
		return eris.Wrap(err, "encode settings of the simulated components")
	}
	path := filepath.Join(d.config.Dir, "standin.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return eris.Wrap(err, "write settings of the simulated components")
	}
	if d.standIn, err = startProcess(d.config.Dir, "standin", d.config.Binaries.StandIn, "-settings", path); err != nil {
		return err
	}
	select {
	case line := <-d.standIn.firstLine:
		return eris.Wrap(json.Unmarshal([]byte(line), &d.Addresses), "decode addresses of the simulated components")
	case <-d.standIn.ended:
		return eris.Errorf("the simulated components exited during startup: %v", d.standIn.err)
	case <-time.After(standInStartTimeout):
		d.standIn.kill()
		return eris.New("the simulated components printed no addresses before the timeout")
	}
}

// StandInPID returns the process ID of the simulated components.
func (d *Deployment) StandInPID() int { return d.standIn.PID() }

// StartHosts starts all hosts and waits until they are ready.
func (d *Deployment) StartHosts(ctx context.Context) error {
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		if err := h.Ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StopHosts shuts all hosts down gracefully.
func (d *Deployment) StopHosts(limit time.Duration) error {
	for _, h := range d.Hosts {
		if err := h.Process.Terminate(); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		if err := h.Process.Wait(limit); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes that are still running.
func (d *Deployment) Close() {
	d.HTTP.CloseIdleConnections()
	for _, h := range d.Hosts {
		if h.Process != nil {
			h.Process.kill()
		}
	}
	if d.standIn != nil {
		d.standIn.kill()
	}
}
