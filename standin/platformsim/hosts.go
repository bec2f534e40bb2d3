package platformsim

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// HostState is the state of an entry host in the platform's list.
type HostState string

// States of entry hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// hosts holds the list of entry hosts.
type hosts struct {
	mu    sync.Mutex
	hosts map[model.HostID]platform.HostEntry
	list  lagged[[]platform.HostEntry]
}

func newHosts(c *Config) *hosts {
	h := &hosts{hosts: map[model.HostID]platform.HostEntry{}}
	h.list.lag = milliseconds(c.ListLagMS)
	for _, id := range c.Hosts {
		h.hosts[id] = platform.HostEntry{ID: id}
	}
	h.list.set(h.sorted(), time.Now())
	return h
}

func (h *hosts) sorted() []platform.HostEntry {
	list := []platform.HostEntry{}
	for _, id := range slices.Sorted(maps.Keys(h.hosts)) {
		list = append(list, h.hosts[id])
	}
	return list
}

func (h *hosts) set(id model.HostID, state HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == HostGone {
		delete(h.hosts, id)
	} else {
		h.hosts[id] = platform.HostEntry{ID: id, Leaving: state == HostLeaving}
	}
	h.list.set(h.sorted(), time.Now())
}

func (h *hosts) hostList() platform.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, asOf := h.list.get(time.Now())
	return platform.HostList{AsOfMS: asOf.UnixMilli(), Hosts: list}
}
