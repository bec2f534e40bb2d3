package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quota"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// BenchmarkBundle measures how a host handles a bundle with the updates of 295 hosts:
// it decodes the bundle and applies the load and the quota usage. Each host has had one
// request since the last bundle.
func BenchmarkBundle(b *testing.B) {
	const hosts, engines, organisations = 295, 192, 40
	fleet := placement.NewFleet(placement.DefaultSettings())
	for i := range engines {
		stage := placement.StagePrefill
		if i%3 == 0 {
			stage = placement.StageDecode
		}
		fleet.Update(placement.Backend{
			ID: model.BackendID(fmt.Sprintf("i-%08x", i)), Service: "m", Stage: stage, Slots: 12, DataCentre: model.DataCentreID(fmt.Sprint("z", i%5)),
			Engine: &placement.EngineTraits{CacheTokens: 821742, TransferTokensPerMS: 2500},
		})
	}
	limiter := quota.NewLimiter(time.Now(), func(model.OrganisationID) quota.Limits { return quota.Limits{Rate: 1e6, Burst: 1e6} }, func() int { return hosts }, 0)
	m, err := New(Deps{
		Self: Member{Host: "self", Incarnation: "1", Address: "127.0.0.1:0", DataCentre: "z0"}, Topics: map[string]*mirror.Table{},
		OnUpdate: func(from Member, n *News) {
			now := time.Now()
			fleet.HandleReport(from.Host, n.Load, now)
			fleet.AdoptSpeeds(n.Speeds)
			limiter.HandleReport(from.Host, from.Incarnation, n.Quota, now)
		},
		OnCounts: func(Member, []usagewindow.WindowCount, time.Time) {}, OnPeerBack: func(string) {}, Log: zap.NewNop(),
	}, "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = m.server.Close() }()
	var all []Member
	for i := range hosts {
		all = append(all, Member{Host: fmt.Sprintf("edge-armenia-%d", i), Incarnation: "1", Address: fmt.Sprintf("10.0.0.1:%d", i), DataCentre: fmt.Sprint("z", i%5)})
	}
	for i := range all {
		m.markAlive(all[i])
	}
	use := func(host, number int) quota.Usage {
		u := quota.Usage{Whole: number%minFullUpdatePeriod == 0, Age: time.Minute, Admitted: map[model.OrganisationID]float64{}, Refused: map[model.OrganisationID]float64{}}
		changed := 1
		if u.Whole {
			changed = organisations
		}
		for i := range changed {
			u.Admitted[model.OrganisationID(fmt.Sprint("org", (host+i)%organisations))] = float64(number * 1000)
		}
		return u
	}
	var relay relayBuffer
	relayState := &memberState{}
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		number++
		for i := range all {
			id := func(n int) model.BackendID { return model.BackendID(fmt.Sprintf("i-%08x", (i*7+n*13+number)%engines)) }
			load := placement.Load{{Backend: id(1), Running: 1}, {Backend: id(2), Running: 1}, {Backend: id(3), UnreadMS: 22}}
			relay.addUpdate(Relayed{
				From: Member{Host: all[i].Host}, IncarnationHash: incarnationHash("1"), Number: uint64(number),
				News: News{
					Load:  placement.Report{Sends: []placement.Send{{Backend: id(3), WorkMS: 22, Parts: []placement.Part{{ID: uint64(number*hosts + i), Tokens: 13000}}}}, Load: load},
					Quota: use(i, number),
				},
			}, time.Now(), true)
		}
		relay.closeBundle(time.Now())
		var reply Reply
		require.NoError(b, relay.addBundles(Want{Scope: ScopeAll, After: relayState.lastBundle}, &reply, time.Now()))
		b.StartTimer()
		m.receiveBundles(relayState, &reply, time.Now())
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/hosts, "µs/host")
}
