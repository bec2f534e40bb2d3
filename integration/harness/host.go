package harness

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/load"
	"github.com/redwingpath/redwingpath/pkg/loopback"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/platformsim"
)

// Operator credentials that all hosts accept.
const (
	OperatorName  = "harness"
	OperatorToken = "harness-operator-token"
)

const (
	readyPollInterval = 50 * time.Millisecond
	probeTimeout      = time.Second
)

// Host is one entry host, which can be restarted.
type Host struct {
	ID model.HostID
	// Callers and Operators are base URLs.
	Callers   string
	Operators string

	deployment *Deployment
	settings   string
	proxies    map[Link]*proxy
	mu         sync.Mutex
	process    *process
	// leaving is true from a planned stop until the next start.
	leaving bool
}

// newHost starts the proxies of a host and writes its settings file.
func (d *Deployment) newHost(id model.HostID, dc model.DataCentreID) (*Host, error) {
	ports, err := loopback.Addresses(3)
	if err != nil {
		return nil, err
	}
	callers, operators, peers := ports[0], ports[1], ports[2]
	h := &Host{
		ID: id, Callers: "http://" + callers, Operators: "http://" + operators,
		deployment: d, proxies: map[Link]*proxy{},
	}
	platform := addressOf(d.StandIn.Addresses.Platform)
	targets := map[Link]string{LinkLog: platform, LinkPlatform: platform, LinkPeers: peers}
	for link, target := range targets {
		if err := h.addProxy(link, target); err != nil {
			return nil, err
		}
	}
	s := hostSettings{
		Host:       hostIdentity{ID: id, Region: d.config.StandIn.Region, DataCentre: dc},
		Listen:     hostListen{Callers: callers, Operators: operators, Peers: peers, PeerAdvertised: h.proxies[LinkPeers].address()},
		Platform:   newHostPlatform("http://"+h.proxies[LinkLog].address(), "http://"+h.proxies[LinkPlatform].address()),
		Timings:    d.config.Timings,
		Scheduling: d.config.Scheduling,
		Logging:    hostLogging{Level: d.config.LogLevel},
		Operators:  []hostOperator{{Name: OperatorName, TokenSHA256: digest(OperatorToken)}},
	}
	h.settings, err = s.write(d.config.Dir)
	return h, err
}

// addProxy starts a proxy in front of a target. An outgoing link belongs to the host
// itself; the host that opened a peer connection is found by the owner of its socket.
func (h *Host) addProxy(link Link, target string) error {
	own := endpoint{h.ID, link}
	to, from := endpoint{"", link}, func(net.Conn) endpoint { return own }
	if link == LinkPeers {
		to, from = own, h.deployment.peerEndpoint
	}
	p, err := startProxy(h.deployment.network, target, to, from)
	h.proxies[link] = p
	return err
}

func addressOf(url string) string {
	const scheme = "http://"
	return url[len(scheme):]
}

func digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Start runs the host's process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.process.running() {
		return eris.Errorf("host %s is running", h.ID)
	}
	p, err := startProcess(h.deployment.config.Dir, string(h.ID), h.deployment.binaries.Host, "serve", "--settings", h.settings)
	if err != nil {
		return err
	}
	h.process = p
	h.leaving = false
	h.reportState(platformsim.HostLive)
	h.deployment.recordAction(check.ActionStart, h.ID, "")
	go h.watch(p)
	return nil
}

func (h *Host) watch(p *process) {
	<-p.ended
	detail := "exit code 0"
	if p.err != nil {
		detail = p.err.Error()
	}
	h.deployment.recordAction(check.ActionExit, h.ID, detail)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == p {
		h.reportState(platformsim.HostGone)
	}
}

// reportState sets the host's state in the platform's list, which lags behind. Errors
// are ignored, since the stand-in may have ended when a deployment is closed.
func (h *Host) reportState(state platformsim.HostState) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_ = h.deployment.StandIn.SetHost(ctx, h.ID, state)
}

// Ready waits until the host accepts connections from callers.
func (h *Host) Ready(ctx context.Context) error {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get(h.Callers + "/")
		if err == nil {
			return response.Body.Close()
		}
		if !h.Running() {
			return eris.Errorf("host %s has ended, see its output file", h.ID)
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "host %s is not ready", h.ID)
		}
	}
}

// Running reports whether the host's process exists, suspended or not.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.process.running()
}

// Kill sends SIGKILL.
func (h *Host) Kill() error { return h.signal(syscall.SIGKILL, check.ActionKill) }

// Freeze suspends the process with SIGSTOP.
func (h *Host) Freeze() error { return h.signal(syscall.SIGSTOP, check.ActionFreeze) }

// Resume continues a suspended process.
func (h *Host) Resume() error { return h.signal(syscall.SIGCONT, check.ActionResume) }

// Stop requests a graceful shutdown and does not wait for its end.
func (h *Host) Stop() error {
	h.mu.Lock()
	h.leaving = true
	h.reportState(platformsim.HostLeaving)
	h.mu.Unlock()
	return h.signal(syscall.SIGTERM, check.ActionStop)
}

// Wait waits until the process has ended.
func (h *Host) Wait(ctx context.Context) error {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	if p == nil {
		return nil
	}
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "host %s has not ended", h.ID)
	}
}

// signal records the action before it sends the signal, so that no effect precedes
// the action in the recording.
func (h *Host) signal(s syscall.Signal, kind check.ActionKind) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || !h.process.running() {
		return eris.Errorf("host %s is not running", h.ID)
	}
	h.deployment.recordAction(kind, h.ID, "")
	return h.process.signal(s)
}

// Cut interrupts a link of the host.
func (h *Host) Cut(l Link, d Direction, m FailureMode) {
	h.deployment.recordAction(check.ActionCut, h.ID, string(l)+" "+string(d)+" "+string(m))
	h.deployment.network.cut(endpoint{h.ID, l}, d, m)
}

// Heal restores all links of the host.
func (h *Host) Heal() {
	for _, l := range Links {
		h.deployment.network.heal(endpoint{h.ID, l})
	}
	h.deployment.recordAction(check.ActionHeal, h.ID, "")
}

func (h *Host) target() load.Target { return load.Target{ID: h.ID, URL: h.Callers} }

// acceptsCalls reports whether a load balancer would send calls to the host.
func (h *Host) acceptsCalls() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.process.running() && !h.leaving
}

func (h *Host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.pid()
}

func (h *Host) close(grace time.Duration) {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	if p != nil {
		p.stop(grace)
	}
	for _, proxy := range h.proxies {
		proxy.close()
	}
}
