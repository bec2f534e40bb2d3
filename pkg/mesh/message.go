// Package mesh exchanges state between hosts: the load that each sends to engines,
// the work that it admits, its usage counts, the holder of the duties, and the end
// offsets of its copies of the platform's topics. In a small deployment, each host
// exchanges messages with all others directly. In a large one, hosts exchange them with
// relays, which pass updates on.
//
// An update is the part of a message that all hosts need (News). Some updates are full;
// the others leave out the speeds of engines and quota sums that have not changed.
package mesh

import (
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quarantine"
	"github.com/redwingpath/redwingpath/pkg/quota"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// Member is a host that takes part in the mesh.
type Member struct {
	Host        string
	Incarnation string
	Address     string
	DataCentre  string
	// Bandwidth is the bandwidth of the host's link in Mbit/s. The hosts with the
	// most are selected as relays.
	Bandwidth float64
	// Stopped is set in the member's final message.
	Stopped bool
}

// CopyStatus describes a host's copy of a topic.
type CopyStatus struct {
	// End is the offset after the last significant change that the copy has, and before
	// which it has all of them.
	End uint64
	// Age is the time since the copy was last known to be up to date.
	Age time.Duration
	// ReadAge is the time since the host itself last read the store.
	ReadAge time.Duration
}

// Holding names the holder of the duties, with its fencing token.
type Holding struct {
	// Holder is empty in the update of a host that has given up the duties since it held them
	// under the fencing token.
	Holder string
	Fence  uint64
	// FixedWindow is the newest usage window whose figures the holder has fixed, 0 if there
	// is none.
	FixedWindow int64
}

// News is a host's update: the state that all other hosts need.
type News struct {
	Load placement.Report
	// Speeds are the engine speeds that the sender has learned, by pool. Only full
	// updates carry them.
	Speeds map[model.PoolName]placement.Speed
	// Quota is the work that the sender has admitted and refused since it started.
	Quota   quota.Usage
	Holding Holding
	// Switching are the engines that the sender, as the holder of the duties, has
	// ordered to change their stage.
	Switching []model.BackendID
	// Suspects maps digests of requests that crashed backend servers to the number of
	// crashes.
	Suspects map[string]int
	// Crashes are crashes of backend servers with the parts of the prompts that they
	// ran.
	Crashes []quarantine.Crash
	// Limits are limits that backend servers have stated.
	Limits []placement.LimitStatement
}

// agedLimits returns the statements with the time that their update took added to their
// ages.
func agedLimits(limits []placement.LimitStatement, by time.Duration) []placement.LimitStatement {
	older := slices.Clone(limits)
	for i := range older {
		older[i].Age += by
	}
	return older
}

// aged returns the crashes with the time that their update took added to their ages.
func aged(crashes []quarantine.Crash, by time.Duration) []quarantine.Crash {
	older := slices.Clone(crashes)
	for i := range older {
		older[i].Age += by
		older[i].Parts = slices.Clone(older[i].Parts)
		for j := range older[i].Parts {
			older[i].Parts[j].AnswerAge += by
		}
	}
	return older
}

// Message is what a host sends to a peer in an exchange.
type Message struct {
	From Member
	// Number is the number of the update in News, counted by the sender from 1. It is
	// 0 if the message carries no update.
	Number uint64
	// Now is the sender's time of day.
	Now time.Time
	// Copies describes the sender's copies, by topic.
	Copies map[string]CopyStatus
	// Members are the live members that the sender knows. Only some messages list
	// them.
	Members []Member
	News    News
	// Counted is set if the message carries Counts: always in a host's final message,
	// otherwise only for peers that may report usage.
	Counted bool
	// Counts are the sender's request counts of recent usage windows.
	Counts []usagewindow.WindowCount
	// Relaying is set if the sender acts as a relay.
	Relaying bool
	// StatedAt is a moment of the receiver before which the sender has not described its
	// copies, the zero Moment if the sender knows none.
	StatedAt Moment
	// Want requests bundles from the receiver.
	Want Want

	// builtAt is a time before the sender has described its copies.
	builtAt time.Time
}

// Moment is a time by the clock of one incarnation of a host.
type Moment struct {
	// Incarnation is the hash of the host's incarnation.
	Incarnation uint32
	// Elapsed is the time since the start of the incarnation.
	Elapsed time.Duration
}

// Want is a request for bundles from a relay.
type Want struct {
	Scope Scope
	// After is the number of the last bundle that the sender has received.
	After uint64
}

// Scope selects the updates that a host requests from a relay.
type Scope int

// Scopes.
const (
	// ScopeNone requests no updates.
	ScopeNone Scope = iota
	// ScopeDirect requests the updates that hosts sent to the relay directly. Relays
	// use it with each other.
	ScopeDirect
	// ScopeAll also requests the updates that the relay received from other relays.
	ScopeAll
)

// Reply is the response to a Message.
type Reply struct {
	From     Member
	Now      time.Time
	Copies   map[string]CopyStatus
	Relaying bool
	// At is the moment at which the sender described its copies.
	At Moment
	// Bundles are the requested bundles, from the oldest to the newest.
	Bundles []Bundle
	// Newest is the number of the sender's newest bundle.
	Newest uint64
}

// RecordsArgs requests the records of a peer's copy of a topic from an offset on.
type RecordsArgs struct {
	Topic string
	From  uint64
}

// RecordsReply holds records of a peer's copy.
type RecordsReply struct {
	// Packed holds the records as encoded by pack.
	Packed []byte
	// End and Whole are those of mirror.Changes.
	End   uint64
	Whole bool
	// Complete is set if the peer's copy has taken a snapshot of the topic.
	Complete bool
}
