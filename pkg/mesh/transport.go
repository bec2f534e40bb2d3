package mesh

import (
	"context"

	"github.com/redwingpath/redwingpath/pkg/peer"
)

// transport carries calls to other hosts.
type transport interface {
	// exchange sends a message to the host at an address and returns the reply.
	exchange(ctx context.Context, address string, message *Message) (Reply, error)
	// records requests records of a peer's copy of a topic.
	records(ctx context.Context, address string, args RecordsArgs) (RecordsReply, error)
	close()
}

// peerTransport is the transport over TCP.
type peerTransport struct {
	exchanges *peer.Client
	// pulls uses separate connections, so that large records don't delay exchanges.
	pulls *peer.Client
}

func newPeerTransport() peerTransport {
	return peerTransport{
		exchanges: peer.NewClient(peer.ClientConfig{CallTimeout: exchangeTimeout, DialTimeout: exchangeTimeout}),
		pulls:     peer.NewClient(peer.ClientConfig{CallTimeout: pullTimeout, DialTimeout: exchangeTimeout}),
	}
}

func (t peerTransport) exchange(ctx context.Context, address string, message *Message) (Reply, error) {
	return peer.Call[Reply](ctx, t.exchanges, address, methodExchange, message)
}

func (t peerTransport) records(ctx context.Context, address string, args RecordsArgs) (RecordsReply, error) {
	return peer.Call[RecordsReply](ctx, t.pulls, address, methodRecords, args)
}

func (t peerTransport) close() {
	t.exchanges.Close()
	t.pulls.Close()
}
