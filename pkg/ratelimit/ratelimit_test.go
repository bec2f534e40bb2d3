package ratelimit

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/rate"
)

const org = model.OrganisationID("cooper")

// newServicePair returns two services. The first coordinates all shards.
func newServicePair(limits rate.Limits, reachable func() bool) (coordinator, other *Service) {
	deps := func(id model.HostID) Dependencies {
		return Dependencies{
			Key:   rate.HostKey{Host: id},
			Terms: rate.DefaultTerms(),
			Holds: func(model.ShardName) (Holding, bool) { return Holding{Fence: 1, First: true}, id == "host-1" },
			Coordinator: func(model.ShardName) (model.HostID, model.Offset, bool) {
				return "host-1", 1, true
			},
			Limits: func(model.OrganisationID) (rate.Limits, bool) { return limits, true },
			Call: func(_ context.Context, _ model.HostID, r rate.Request) (rate.Reply, error) {
				time.Sleep(time.Millisecond)
				if !reachable() {
					return rate.Reply{}, errors.New("connection refused")
				}
				return coordinator.Grant(r), nil
			},
		}
	}
	coordinator = New(deps("host-1"))
	return coordinator, New(deps("host-2"))
}

// Guards against rejecting the first request of an organisation because its host
// holds no grant yet, and against rejections without a retry time.
func TestTakeRequestsGrantAndThenRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, other := newServicePair(rate.Limits{Rate: 2, Burst: 5}, func() bool { return true })
		for range 5 {
			ok, _ := other.Take(org, 1, time.Now())
			require.True(t, ok)
		}
		started := time.Now()
		ok, retryAfter := other.Take(org, 1, time.Now())
		require.False(t, ok)
		require.Greater(t, retryAfter, 100*time.Millisecond)
		require.Less(t, time.Since(started), defaultMaxWait)
	})
}

// Guards against a host rejecting all requests while the coordinator is
// unreachable for less than the lease term.
func TestLeaseCoversUnreachableCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reachable := true
		_, other := newServicePair(rate.Limits{Rate: 100, Burst: 100}, func() bool { return reachable })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go other.Run(ctx)
		admitted := func(seconds int) (n int) {
			for range seconds * 10 {
				if ok, _ := other.Take(org, 1, time.Now()); ok {
					n++
				}
				time.Sleep(100 * time.Millisecond)
			}
			return n
		}
		require.Equal(t, 200, admitted(20))
		reachable = false
		require.Equal(t, 100, admitted(10), "the lease must admit 10 of 100 units/s")
		time.Sleep(10 * time.Second)
		ok, _ := other.Take(org, 1, time.Now())
		require.False(t, ok, "the lease must expire at the end of its term")
		cancel()
		time.Sleep(time.Second) // lets the grant request in flight end
	})
}
