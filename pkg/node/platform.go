package node

import (
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/settings"
)

// platformClients holds one client for each interface of the platform. The
// clients share no connections, so that a slow interface does not delay another.
type platformClients struct {
	log     *platform.Client
	fleet   *platform.Client
	usage   *platform.Client
	weights *platform.Client
}

func newPlatformClients(s *settings.Platform) platformClients {
	client := func(address string) *platform.Client {
		if address == "" {
			address = s.Address
		}
		return platform.NewClient(platform.ClientConfig{Address: address, Timeout: s.RequestTimeout})
	}
	return platformClients{
		log: client(s.Log), fleet: client(s.Fleet), usage: client(s.Usage), weights: client(s.Weights),
	}
}
