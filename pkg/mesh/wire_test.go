package mesh

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quarantine"
	"github.com/redwingpath/redwingpath/pkg/quota"
)

func deflated(t testing.TB, raw []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(raw)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	return out.Bytes()
}

// examples returns an update with all fields set, one with few, and an empty one.
func examples() []Relayed {
	return []Relayed{
		{
			From:            Member{Host: "a", Incarnation: "i", Address: "10.0.0.1:1", DataCentre: "z", Bandwidth: 20.5, Stopped: true},
			IncarnationHash: 7, Number: 1 << 40, Age: 3 * time.Millisecond, ReadAge: neverReadAge,
			News: News{
				Load: placement.Report{
					Sends: []placement.Send{{Backend: "e1", WorkMS: 22.5, Parts: []placement.Part{{ID: 1 << 63, Tokens: 13000}, {ID: 2}}}, {Backend: "e2"}},
					Load:  placement.Load{{Backend: "e1", Running: 2, UnreadMS: 0.0625, Tokens: 1700}, {Backend: "e3", UnreadMS: 1e6}},
				},
				Speeds: map[model.PoolName]placement.Speed{"m": {PrefillRate: 1, DecodeRate: 2, PrefillMS: 3, DecodeMS: 4, FirstMS: 5}},
				Quota: quota.Usage{
					Whole: true, Age: time.Hour,
					Admitted: map[model.OrganisationID]float64{"o": 1e12, "p": 0.5},
					Refused:  map[model.OrganisationID]float64{"o": 3},
				},
				Holding: Holding{"a", 9, 1 << 40}, Switching: []model.BackendID{"e1", "e2"},
				Suspects: map[string]int{"\x00\xff": 2},
				Crashes: []quarantine.Crash{
					{Server: "e1", Age: time.Second, Parts: []quarantine.CrashedPart{{ID: 1 << 63, Answered: true, AnswerAge: time.Hour}, {ID: 5}}},
					{Server: "e2", Parts: []quarantine.CrashedPart{{ID: 7}}},
				},
				Limits: []placement.LimitStatement{{Backend: "e1", Incarnation: 1 << 40, PerSecond: 8.6, Age: time.Second, Observed: true}, {Backend: "e2", PerSecond: placement.NoLimit}},
			},
		},
		{From: Member{Host: "b"}, Number: 2, News: News{Load: placement.Report{Load: placement.Load{{Backend: "e1", Running: 1}}}}},
		{},
	}
}

func bundleOf(t testing.TB, list []Relayed) (*relayBuffer, Bundle) {
	t.Helper()
	b := &relayBuffer{}
	now := time.Now()
	for _, r := range list {
		b.addUpdate(r, now, true)
	}
	b.closeBundle(now)
	var reply Reply
	require.NoError(t, b.addBundles(Want{Scope: ScopeAll}, &reply, now))
	require.Len(t, reply.Bundles, 1)
	return b, reply.Bundles[0]
}

// A decoder reuses its memory. Values of one bundle must not appear in the updates of the
// next, and decoding the next must not change updates that were returned before.
func TestBundlesPreserveUpdates(t *testing.T) {
	u := newBundleDecoder()
	want := examples()
	reversed := []Relayed{want[2], want[1], want[0]}
	var first []Relayed
	for i, list := range [][]Relayed{want, reversed, want, {want[1]}, {want[2], want[2]}} {
		_, bundle := bundleOf(t, list)
		var got []Relayed
		require.NoError(t, u.decode(&bundle, func(r *Relayed) { got = append(got, *r) }))
		assert.Equal(t, list, got, i)
		if i == 0 {
			first = got
		}
	}
	assert.Equal(t, examples(), first)
}

// A relay reuses the memory of one bundle to encode the next, which must not contain
// values of the one before.
func TestBundlesContainNoValuesOfEarlierBundles(t *testing.T) {
	var b relayBuffer
	u := newBundleDecoder()
	now := time.Now()
	after := uint64(0)
	for round, list := range [][]Relayed{examples(), {examples()[2]}, {examples()[1], examples()[0]}} {
		for _, r := range list {
			b.addUpdate(r, now, true)
		}
		b.closeBundle(now)
		var reply Reply
		require.NoError(t, b.addBundles(Want{Scope: ScopeAll, After: after}, &reply, now))
		after = reply.Newest
		var got []Relayed
		for i := range reply.Bundles {
			require.NoError(t, u.decode(&reply.Bundles[i], func(r *Relayed) { got = append(got, *r) }))
		}
		assert.Equal(t, list, got, round)
	}
}

func FuzzBundle(f *testing.F) {
	relay, _ := bundleOf(f, examples())
	raw := relay.raw
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0x92, 1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		bundle := Bundle{Data: deflated(t, raw)}
		u := newBundleDecoder()
		_ = u.decode(&bundle, func(*Relayed) {})
		_, good := bundleOf(t, examples())
		var got []Relayed
		require.NoError(t, u.decode(&good, func(r *Relayed) { got = append(got, *r) }), "the next bundle can be decoded")
		assert.Equal(t, examples(), got)
	})
}
