package edgehost

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// jsonPlatform decodes registrations from their JSON form.
type jsonPlatform struct{}

func (jsonPlatform) Newest(context.Context, string) ([]mirror.Record, uint64, error) {
	return nil, 0, nil
}
func (jsonPlatform) Read(context.Context, string, uint64, time.Duration) (mirror.Page, error) {
	return mirror.Page{}, nil
}
func (jsonPlatform) Put(context.Context, string, string, []byte) error        { return nil }
func (jsonPlatform) DutyLog() duty.Log                                        { return nil }
func (jsonPlatform) DecodeConfiguration([]byte) (catalog.Config, error)       { return catalog.Config{}, nil }
func (jsonPlatform) ChangeStage(context.Context, duty.Term, StageOrder) error { return nil }
func (jsonPlatform) Scale(context.Context, duty.Term, ScaleOrder) error       { return nil }
func (jsonPlatform) AcceptedOrders(context.Context, model.BackendID, string) (uint64, error) {
	return 0, nil
}
func (jsonPlatform) ReportUsage(context.Context, duty.Term, int64, map[model.OrganisationID]int64) error {
	return nil
}

func (jsonPlatform) EvacuatedDataCentre(string) (model.DataCentreID, bool) { return "", false }

func (jsonPlatform) Backend(id string, raw []byte) (Registration, error) {
	var r Registration
	err := json.Unmarshal(raw, &r)
	r.ID = model.BackendID(id)
	return r, err
}

var start = time.Unix(1000, 0)

type registryFixture struct {
	*registry
	offset uint64
	table  *mirror.Table
}

func newRegistryFixture() *registryFixture {
	table := mirror.NewTable(nil)
	return &registryFixture{table: table, registry: &registry{
		newest:   table.Newest,
		platform: jsonPlatform{}, fleet: placement.NewFleet(placement.DefaultSettings()), invalidateConnections: func(string) {},
		catalog: func() *catalog.Catalog { return nil }, log: zap.NewNop(), countUnreadable: func() {}, wakeMesh: func() {},
		entries: map[string]*registryEntry{},
	}}
}

func (b *registryFixture) put(key string, born int64, leaving bool, at time.Duration) {
	raw, _ := json.Marshal(Registration{Backend: placement.Backend{Service: "s", Address: "a", Leaving: leaving}, Born: born})
	b.record(key, raw, at)
}

func (b *registryFixture) record(key string, raw []byte, at time.Duration) {
	b.noteUpToDate(start.Add(at))
	b.apply(b.write(key, raw), start.Add(at))
}

// write puts a record into the table and returns it.
func (b *registryFixture) write(key string, raw []byte) []mirror.Record {
	b.offset++
	return b.table.Apply([]mirror.Record{{Key: key, Value: raw, Offset: b.offset}}, b.offset+1, start)
}

// Guards against a removed server that returns, since an earlier record that came from a peer
// is applied after the removal that was read from the store.
func TestRecordThatIsAppliedLateDoesNotReturnARemovedServer(t *testing.T) {
	b := newRegistryFixture()
	b.put("x", 1, false, 0)
	raw, _ := json.Marshal(Registration{Backend: placement.Backend{Service: "s", Address: "a", Stage: 1}, Born: 1})
	late := b.write("x", raw)
	b.record("x", nil, time.Second)
	require.False(t, b.fleet.Usable("x"))
	b.apply(late, start.Add(time.Second))
	assert.False(t, b.fleet.Usable("x"))
}

func TestRemovedEntryRemovesTheServerAtOnce(t *testing.T) {
	b := newRegistryFixture()
	b.put("x", 1, false, 0)
	assert.True(t, b.fleet.Usable("x"))
	for at := time.Duration(0); at < 10*time.Second; at += time.Second {
		// The store stays reachable: a peer reads it for this host.
		b.noteUpToDate(start.Add(at))
	}
	b.record("x", nil, 10*time.Second)
	assert.False(t, b.fleet.Usable("x"))
}

func TestServerIsKeptForAGraceAfterItsEntryLapsedInAStoreOutage(t *testing.T) {
	b := newRegistryFixture()
	b.put("back", 1, false, 0)
	b.put("gone", 1, false, 0)
	b.record("back", nil, 8*time.Second)
	b.record("gone", nil, 8*time.Second)
	assert.True(t, b.fleet.Usable("back"))
	b.put("back", 1, false, 9*time.Second)
	b.sweep(start.Add(9 * time.Second))
	assert.True(t, b.fleet.Usable("gone"))
	b.sweep(start.Add(8*time.Second + lapseGrace))
	assert.False(t, b.fleet.Usable("gone"))
	assert.True(t, b.fleet.Usable("back"))
}

func TestLeavingServerDoesNotReturnInTheSameIncarnation(t *testing.T) {
	b := newRegistryFixture()
	b.put("x", 5, true, 0)
	b.put("x", 5, false, time.Second)
	assert.False(t, b.fleet.Usable("x"))
	b.put("x", 4, false, time.Second)
	assert.False(t, b.fleet.Usable("x"), "a delayed entry of an earlier incarnation is ignored")
	b.put("x", 6, false, 2*time.Second)
	assert.True(t, b.fleet.Usable("x"))
}

func TestUnusableEntryRemovesOnlyItsServer(t *testing.T) {
	b := newRegistryFixture()
	b.put("x", 1, false, 0)
	b.put("y", 1, false, 0)
	b.record("x", []byte("{torn"), time.Second)
	assert.False(t, b.fleet.Usable("x"))
	assert.True(t, b.fleet.Usable("y"))
}

func TestUnusableEntryThatReplacesAnotherIsNotPassedOn(t *testing.T) {
	h := &Host{platform: jsonPlatform{}}
	assert.True(t, h.sameRegistration("x", []byte("{torn"), []byte("{torn again")))
	assert.False(t, h.sameRegistration("x", []byte("{torn"), []byte(`{"Service":"s"}`)))
	assert.False(t, h.sameRegistration("x", []byte(`{"Service":"s"}`), []byte("{torn")))
	assert.True(t, h.sameRegistration("x", []byte(`{"Service":"s","Seq":1}`), []byte(`{"Service":"s","Seq":2}`)))
}

func TestUsableEntryReturnsItsServerAfterAnUnusableOne(t *testing.T) {
	b := newRegistryFixture()
	b.put("x", 1, false, 0)
	b.record("x", []byte("{torn"), time.Second)
	b.put("x", 1, false, 2*time.Second)
	assert.True(t, b.fleet.Usable("x"))
}

// Guards against a limit by memory where organisations have quotas, and against one that is
// missing where none has.
func TestMemoryLimitsEnginesOfUnmeteredConfigurations(t *testing.T) {
	for name, rate := range map[string]float64{"metered": 10, "unmetered": 0} {
		t.Run(name, func(t *testing.T) {
			b := newRegistryFixture()
			c := catalog.New(catalog.Config{
				Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{CacheTokens: 1000}}},
				Organisations: []catalog.Organisation{{ID: "org", Rate: rate}},
			})
			b.catalog = func() *catalog.Catalog { return c }
			b.put("a", 1, false, 0)
			server, _ := b.fleet.Get("a")
			assert.Equal(t, rate == 0, server.Engine.LimitMemory)
			assert.Equal(t, rate == 0, len(b.fleet.EngineMemories()) == 1)
		})
	}
}
