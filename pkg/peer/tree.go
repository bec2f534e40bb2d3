package peer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Fanout is the largest number of children of a host in a Tree.
const Fanout = 4

// Tree is the tree along which log entries reach hosts that cannot read the log: a host
// announces new entries to its children, and these pull them. All hosts with equal
// lists compute the same tree. The order by hash spreads the inner nodes over data
// centres.
type Tree struct {
	order []model.HostID
}

// NewTree returns the tree of a set of hosts.
func NewTree(hosts []model.HostID) Tree {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b model.HostID) int {
		x, y := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
	return Tree{order: order}
}

// Children returns the children of a host, which are none if the host is not in the
// tree.
func (t Tree) Children(h model.HostID) []model.HostID {
	i := slices.Index(t.order, h)
	if i < 0 {
		return nil
	}
	low := min(Fanout*i+1, len(t.order))
	high := min(low+Fanout, len(t.order))
	return t.order[low:high]
}

// Parent returns the parent of a host. ok is false for the root and for a host that is
// not in the tree.
func (t Tree) Parent(h model.HostID) (parent model.HostID, ok bool) {
	i := slices.Index(t.order, h)
	if i <= 0 {
		return "", false
	}
	return t.order[(i-1)/Fanout], true
}
