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

// Operator credentials of all hosts that the harness starts.
const (
	OperatorName  = "harness"
	OperatorToken = "harness-operator-token"
)

const (
	readyPoll    = 50 * time.Millisecond
	probeTimeout = time.Second
)

// Host is one entry host, possibly restarted several times.
type Host struct {
	ID model.HostID
	// Callers and Operators are base URLs.
	Callers   string
	Operators string

	deployment *Deployment
	settings   string
	relays     map[Link]*relay
	mu         sync.Mutex
	process    *process
	// leaving is set from a planned stop to the next start.
	leaving bool
}

// newHost prepares a host with its relays and settings file.
func (d *Deployment) newHost(id model.HostID, dc model.DataCentreID) (*Host, error) {
	ports, err := loopback.Addresses(3)
	if err != nil {
		return nil, err
	}
	callers, operators, peers := ports[0], ports[1], ports[2]
	h := &Host{
		ID: id, Callers: "http://" + callers, Operators: "http://" + operators,
		deployment: d, relays: map[Link]*relay{},
	}
	platform := addressOf(d.StandIn.Addresses.Platform)
	targets := map[Link]string{LinkLog: platform, LinkPlatform: platform, LinkPeers: peers}
	for link, target := range targets {
		if err := h.addRelay(link, target); err != nil {
			return nil, err
		}
	}
	s := hostSettings{
		Host:       hostIdentity{ID: id, Region: d.config.StandIn.Region, DataCentre: dc},
		Listen:     hostListen{Callers: callers, Operators: operators, Peers: peers, PeerAdvertised: h.relays[LinkPeers].address()},
		Platform:   newHostPlatform("http://"+h.relays[LinkLog].address(), "http://"+h.relays[LinkPlatform].address()),
		Timings:    d.config.Timings,
		Scheduling: d.config.Scheduling,
		Logging:    hostLogging{Level: d.config.LogLevel},
		Operators:  []hostOperator{{Name: OperatorName, TokenSHA256: digest(OperatorToken)}},
	}
	h.settings, err = s.write(d.config.Dir)
	return h, err
}

// addRelay puts a relay before a target. Outgoing links belong to the host
// itself; the ends of peer connections are found by the socket's owner.
func (h *Host) addRelay(link Link, target string) error {
	own := end{h.ID, link}
	to, from := end{"", link}, func(net.Conn) end { return own }
	if link == LinkPeers {
		to, from = own, h.deployment.peerEnd
	}
	r, err := startRelay(h.deployment.network, target, to, from)
	h.relays[link] = r
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
	h.list(platformsim.HostLive)
	h.deployment.act(check.ActionStart, h.ID, "")
	go h.watch(p)
	return nil
}

func (h *Host) watch(p *process) {
	<-p.ended
	detail := "exit code 0"
	if p.err != nil {
		detail = p.err.Error()
	}
	h.deployment.act(check.ActionExit, h.ID, detail)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == p {
		h.list(platformsim.HostGone)
	}
}

// list tells the platform the host's state, which it lists with a lag. The
// stand-in has already ended when a deployment is closed.
func (h *Host) list(state platformsim.HostState) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_ = h.deployment.StandIn.SetHost(ctx, h.ID, state)
}

// Ready waits until the host takes connections of callers.
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
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "host %s is not ready", h.ID)
		}
	}
}

// Running tells whether the host's process exists, frozen or not.
func (h *Host) Running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process != nil && h.process.running()
}

// Kill ends the process without notice.
func (h *Host) Kill() error { return h.signal(syscall.SIGKILL, check.ActionKill) }

// Freeze stops the process from running.
func (h *Host) Freeze() error { return h.signal(syscall.SIGSTOP, check.ActionFreeze) }

// Resume lets a frozen process go on.
func (h *Host) Resume() error { return h.signal(syscall.SIGCONT, check.ActionResume) }

// Stop asks for a graceful shutdown and does not wait for it.
func (h *Host) Stop() error {
	h.mu.Lock()
	h.leaving = true
	h.list(platformsim.HostLeaving)
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

// signal records the action first: its effects must not precede it in the recording.
func (h *Host) signal(s syscall.Signal, kind check.ActionKind) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil || !h.process.running() {
		return eris.Errorf("host %s is not running", h.ID)
	}
	h.deployment.act(kind, h.ID, "")
	return h.process.signal(s)
}

// Cut cuts a link of the host.
func (h *Host) Cut(l Link, d Direction, m Manner) {
	h.deployment.act(check.ActionCut, h.ID, string(l)+" "+string(d)+" "+string(m))
	h.deployment.network.cut(end{h.ID, l}, d, m)
}

// Heal ends the cuts of all links of the host.
func (h *Host) Heal() {
	for _, l := range Links {
		h.deployment.network.heal(end{h.ID, l})
	}
	h.deployment.act(check.ActionHeal, h.ID, "")
}

func (h *Host) target() load.Target { return load.Target{ID: h.ID, URL: h.Callers} }

// takesCalls tells whether a load balancer would send calls to the host.
func (h *Host) takesCalls() bool {
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
	for _, r := range h.relays {
		r.close()
	}
}
