// Package peer carries messages between hosts by net/rpc over TCP, with TLS if
// configured.
package peer

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// ServiceName is the name under which the rpc service of this package is registered.
const ServiceName = "Peer"

// Names of the rpc methods.
const (
	methodTail       = ServiceName + ".Tail"
	methodVouch      = ServiceName + ".Vouch"
	methodStatus     = ServiceName + ".Status"
	methodCheckpoint = ServiceName + ".Checkpoint"
)

// TailArgs announces the position of the sender and requests log entries.
type TailArgs struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Next is the offset after the sender's last applied one.
	Next model.Offset
	// Want is the offset from which on the sender requests entries. 0 requests
	// none.
	Want model.Offset
}

// TailReply contains all entries with offsets in [From, Next).
type TailReply struct {
	From, Next model.Offset
	Entries    []platform.LogEntry
	// AtEnd reports whether the peer has no entries from Next on.
	AtEnd bool
	// ReadAge is the age of the peer's evidence that the log was read to its end.
	// HasRead is false if the peer has no such evidence.
	ReadAge time.Duration
	HasRead bool
	// Dropped reports whether the peer no longer has the requested entries.
	Dropped bool
}

// VouchArgs requests a vouch: the statement of a peer whether it can reach the log,
// and up to which offset it has applied it.
type VouchArgs struct {
	Host model.HostID
}

// VouchReply is the vouch of a peer.
type VouchReply struct {
	Host           model.HostID
	Incarnation    model.Incarnation
	CannotReachLog bool
	// Offset is the last offset that the peer has applied.
	Offset model.Offset
	// Counts reports whether the reply counts towards a majority.
	Counts bool
}

// StatusArgs asks whether a host is live.
type StatusArgs struct {
	Host model.HostID
}

// StatusReply is the reply of a live host.
type StatusReply struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Offset      model.Offset
	Leaving     bool
	// Able reports whether the host's view is fresh and the host can reach the log.
	// A holder can act only if both are true.
	Able bool
}

// CheckpointArgs requests the tables.
type CheckpointArgs struct {
	Host model.HostID
}

// CheckpointReply contains the encoded tables; see state.RestoreCompressed.
type CheckpointReply struct {
	Offset model.Offset
	Data   []byte
}

// Handler responds to the messages of other hosts. Its methods are called concurrently.
type Handler interface {
	Tail(args TailArgs) (TailReply, error)
	Vouch(args VouchArgs) (VouchReply, error)
	Status(args StatusArgs) (StatusReply, error)
	Checkpoint(args CheckpointArgs) (CheckpointReply, error)
}
