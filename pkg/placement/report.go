package placement

import (
	"math"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Send is prefill work that a host has sent to an engine. Its fields are exported for
// net/rpc.
type Send struct {
	Backend model.BackendID
	// WorkMS is the expected prefill time, negative for work that was withdrawn. Unit:
	// milliseconds.
	WorkMS float64
	// Parts are the shared parts of the prompt.
	Parts []Part
}

// Load is a snapshot of the load that a host has on servers.
type Load []ServerLoad

// ServerLoad is the load that a host has on one server.
type ServerLoad struct {
	Backend model.BackendID
	// Running counts the host's running requests.
	Running int
	// UnreadMS is the prefill time of the host's requests whose prefill has not ended.
	// Unit: milliseconds.
	UnreadMS float64
	// Tokens is the KV cache memory that the host's requests use on an engine, in units of
	// tokensPerUnit tokens.
	Tokens int
}

// tokensPerUnit is the unit of ServerLoad.Tokens. Unit: tokens.
const tokensPerUnit = 256

// Report is what a host sends to its peers.
type Report struct {
	// Sends is the work sent since the last report.
	Sends []Send
	Load  Load
}

// maxUnreportedSends bounds the sends that are queued for the next report; further ones are
// not reported.
const maxUnreportedSends = 512

// quantize rounds values in reports, so that they are encoded in few bytes.
func quantize(value float64) float64 {
	const stepsPerUnit = 16
	return math.Round(value*stepsPerUnit) / stepsPerUnit
}

func (f *Fleet) queueSend(s Send) {
	s.WorkMS = quantize(s.WorkMS)
	if len(f.unreportedSends) < maxUnreportedSends {
		f.unreportedSends = append(f.unreportedSends, s)
	}
}

// Report returns the work sent since the last report and the current load.
func (f *Fleet) Report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Report{Sends: f.unreportedSends, Load: f.ownLoad()}
	f.unreportedSends = nil
	return r
}

func (f *Fleet) ownLoad() Load {
	var l Load
	for id, s := range f.servers {
		load := ServerLoad{Backend: id, Running: s.running}
		if s.Engine != nil {
			load.UnreadMS = quantize(millis(s.pendingPrefill))
			load.Tokens = s.memory.units()
		}
		if load.Running > 0 || load.UnreadMS > 0 || load.Tokens > 0 {
			l = append(l, load)
		}
	}
	return l
}

// HandleReport applies a peer's report.
func (f *Fleet) HandleReport(peer string, r Report, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, send := range r.Sends {
		if s := f.servers[send.Backend]; s != nil {
			s.addBacklog(fromMillis(send.WorkMS), now)
			f.service(s.Service).prefillWork += fromMillis(send.WorkMS)
			s.cache.add(send.Parts)
			f.notePartUse(s, send.Parts, now)
		}
	}
	f.replacePeerLoad(peer, r.Load)
}

// peerLoad is the load that a peer has on a server.
type peerLoad struct {
	server         *server
	running        int
	pendingPrefill time.Duration
	tokens         int
}

// replacePeerLoad replaces the load of a peer. Its run time depends on the number of
// servers that the peer uses, not on the number of all servers.
func (f *Fleet) replacePeerLoad(peer string, l Load) {
	loads := f.subtractPeerLoads(f.peerLoads[peer])
	for _, load := range l {
		s := f.servers[load.Backend]
		if s == nil {
			continue
		}
		p := peerLoad{s, max(load.Running, 0), fromMillis(max(load.UnreadMS, 0)), max(load.Tokens, 0) * tokensPerUnit}
		s.peersRunning += p.running
		s.peersPendingPrefill += p.pendingPrefill
		s.peersTokens += p.tokens
		loads = append(loads, p)
	}
	f.peerLoads[peer] = loads
}

// RemovePeerLoad removes the load of a peer that has gone silent.
func (f *Fleet) RemovePeerLoad(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subtractPeerLoads(f.peerLoads[peer])
	delete(f.peerLoads, peer)
}

// subtractPeerLoads subtracts a peer's load from its servers and returns the emptied slice
// for reuse.
func (f *Fleet) subtractPeerLoads(loads []peerLoad) []peerLoad {
	for _, p := range loads {
		p.server.peersRunning -= p.running
		p.server.peersPendingPrefill -= p.pendingPrefill
		p.server.peersTokens -= p.tokens
	}
	clear(loads)
	return loads[:0]
}
