package edgehost

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Guards against a server that had gone, and that a restored store lists again.
func TestServerThatHadGoneStaysOutOfUseAfterARestore(t *testing.T) {
	for name, c := range map[string]struct{ leaving, returns bool }{"leaving": {true, false}, "lapsed": {false, true}} {
		t.Run(name, func(t *testing.T) {
			b := newRegistryFixture()
			b.noteEra(0, start)
			b.put("x", 1, c.leaving, 0)
			for s := range 10 {
				b.noteUpToDate(start.Add(time.Duration(s) * time.Second))
			}
			b.record("x", nil, 10*time.Second)
			b.noteEra(1, start.Add(11*time.Second))
			b.put("x", 1, false, 11*time.Second)
			assert.False(t, b.fleet.Usable("x"))
			b.sweep(start.Add(11*time.Second + confirmTime - 1))
			assert.False(t, b.fleet.Usable("x"))
			b.sweep(start.Add(11*time.Second + confirmTime))
			assert.Equal(t, c.returns, b.fleet.Usable("x"), "an entry without heartbeats lapses before")
			b.put("x", 2, false, 20*time.Second)
			assert.True(t, b.fleet.Usable("x"), "a new life")
		})
	}
}

// Guards against a loss of servers in use whose entries the restored store lacks.
func TestServerWhoseEntryWasLostStaysInUseForAWhile(t *testing.T) {
	b := newRegistryFixture()
	b.noteEra(0, start)
	b.put("back", 1, false, 0)
	b.put("gone", 1, false, 0)
	b.put("leaving", 1, true, 0)
	for s := range 10 {
		b.noteUpToDate(start.Add(time.Duration(s) * time.Second))
	}
	b.noteEra(1, start.Add(10*time.Second))
	for _, key := range []string{"back", "gone", "leaving"} {
		b.record(key, nil, 10*time.Second)
	}
	assert.True(t, b.fleet.Usable("gone"))
	b.put("back", 1, false, 11*time.Second)
	b.put("leaving", 1, false, 11*time.Second)
	assert.False(t, b.fleet.Usable("leaving"), "leaving is final")
	b.sweep(start.Add(10*time.Second + lapseGrace))
	assert.True(t, b.fleet.Usable("back"))
	assert.False(t, b.fleet.Usable("gone"))
	assert.False(t, b.fleet.Usable("leaving"))
}

// Guards against a leaving server, or an earlier life, that a restored store returns to hosts
// that have started since.
func TestRegistrationsThatOutrankThoseOfARestoredStore(t *testing.T) {
	h := &Host{platform: jsonPlatform{}}
	raw := func(born int64, leaving bool) []byte {
		raw, _ := json.Marshal(Registration{Backend: placement.Backend{Service: "s", Leaving: leaving}, Born: born})
		return raw
	}
	assert.True(t, h.outranksRegistration("x", raw(1, true), raw(1, false)))
	assert.True(t, h.outranksRegistration("x", raw(2, false), raw(1, true)))
	assert.False(t, h.outranksRegistration("x", raw(1, false), raw(1, true)))
	assert.False(t, h.outranksRegistration("x", raw(1, true), raw(2, false)))
	assert.False(t, h.outranksRegistration("x", raw(1, true), nil), "its entry was removed")
	assert.False(t, h.outranksRegistration("x", []byte("{torn"), raw(1, false)))
}

// versionedPlatform decodes configurations that consist of their version.
type versionedPlatform struct{ jsonPlatform }

func (versionedPlatform) DecodeConfiguration(raw []byte) (c catalog.Config, err error) {
	return c, json.Unmarshal(raw, &c.Version)
}

// Guards against a configuration that goes back with the store.
func TestConfigurationsThatOutrankThoseOfARestoredStore(t *testing.T) {
	h := &Host{platform: versionedPlatform{}}
	assert.True(t, h.outranksConfiguration("config", []byte("7"), []byte("5")))
	assert.True(t, h.outranksConfiguration("config", []byte("7"), nil), "lost altogether")
	assert.True(t, h.outranksConfiguration("config", []byte("7"), []byte("{torn")))
	assert.False(t, h.outranksConfiguration("config", []byte("7"), []byte("7")))
	assert.False(t, h.outranksConfiguration("config", []byte("7"), []byte("8")))
	assert.False(t, h.outranksConfiguration("config", []byte("{torn"), []byte("5")))
	assert.False(t, h.outranksConfiguration("evacuate/z", []byte("7"), nil))
}

// Guards against requests to an evacuated data centre whose key the store has lost, and against
// an evacuation that never ends because the operator does not write it again.
func TestLostEvacuationStaysInForceForAWhile(t *testing.T) {
	var l lostEvacuations
	y := []model.DataCentreID{"y"}
	none := []model.DataCentreID{}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	assert.Equal(t, y, l.update(0, y, none, at(0)))
	assert.Equal(t, none, l.update(0, none, y, at(time.Second)), "ended by the operator")
	assert.Equal(t, y, l.update(0, y, none, at(2*time.Second)))
	assert.Equal(t, y, l.update(1, none, y, at(3*time.Second)), "lost")
	assert.Equal(t, y, l.update(1, none, y, at(3*time.Second+lostEvacuationTime-1)))
	assert.Equal(t, none, l.update(1, none, y, at(3*time.Second+lostEvacuationTime)))

	assert.Equal(t, y, l.update(2, y, none, at(20*time.Second)), "its end was lost")
	assert.Equal(t, y, l.update(3, none, y, at(21*time.Second)), "lost")
	assert.Equal(t, y, l.update(3, y, y, at(22*time.Second)), "written again")
	assert.Equal(t, none, l.update(3, none, y, at(23*time.Second)), "ended by the operator")
	assert.Equal(t, y, l.update(3, y, none, at(24*time.Second)))
	assert.Equal(t, y, l.update(4, none, y, at(25*time.Second)), "lost")
	assert.Equal(t, y, l.update(5, none, y, at(29*time.Second)), "lost once more")
	assert.Equal(t, y, l.update(5, none, y, at(32*time.Second)))
	assert.Equal(t, none, l.update(5, none, y, at(34*time.Second)))
}

// Guards against a change of era that is counted when a host starts, or twice.
func TestChangesOfTheEraAreCountedOnce(t *testing.T) {
	var o eraObserver
	_, changed := o.observe(3)
	assert.False(t, changed, "the first one that is known")
	former, changed := o.observe(5)
	assert.True(t, changed)
	assert.Equal(t, uint64(3), former)
	_, changed = o.observe(5)
	assert.False(t, changed)
	_, changed = o.observe(4)
	assert.False(t, changed)
}
