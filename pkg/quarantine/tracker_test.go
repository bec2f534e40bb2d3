package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func server(i int) model.BackendID { return model.BackendID(fmt.Sprint("s", i)) }

func ids(parts ...PartID) []PartID { return parts }

// crashed records crashes of different servers at the times, each under the parts.
func crashed(t *Tracker, parts []PartID, seconds ...float64) {
	for _, s := range seconds {
		t.RecordCrash(server(int(s*1000)), parts, at(s), at(s))
	}
}

func TestPartUnderWhichServersCrashIsHeldAnywhereInThePrompt(t *testing.T) {
	for position := range 3 {
		tracker := New(DefaultSettings())
		for i := range 3 {
			parts := ids(PartID(10+i), PartID(20+i), PartID(30+i))
			parts[position] = 7
			crashed(tracker, parts, float64(i))
		}
		hold := tracker.Holding(ids(1, 7, 2), at(3))
		require.NotNil(t, hold, position)
		assert.Equal(t, ids(7), hold.Parts)
		assert.Equal(t, 3, hold.Occasions)
		assert.Nil(t, tracker.Holding(ids(10, 20, 30), at(3)))
	}
}

func TestTwoOccasionsHoldNothing(t *testing.T) {
	tracker := New(DefaultSettings())
	crashed(tracker, ids(7), 0, 1)
	assert.Nil(t, tracker.Holding(ids(7), at(2)))
}

func TestPartThatSoundRequestsShareIsNotHeld(t *testing.T) {
	tracker := New(DefaultSettings())
	for i := range 20 {
		crashed(tracker, ids(1, 7, PartID(100+i)), float64(i))
		tracker.RecordAnswer(ids(1, 2), at(float64(i)+0.3))
	}
	assert.Nil(t, tracker.Holding(ids(1, 2), at(21)))
	require.NotNil(t, tracker.Holding(ids(1, 7), at(21)))
}

func TestPartAnsweredOnlyBeforeTheCrashesIsHeld(t *testing.T) {
	tracker := New(DefaultSettings())
	tracker.RecordAnswer(ids(7), at(0))
	crashed(tracker, ids(7), 2, 3, 4)
	assert.NotNil(t, tracker.Holding(ids(7), at(5)))
}

func TestAnswerReleasesAPart(t *testing.T) {
	tracker := New(DefaultSettings())
	crashed(tracker, ids(7), 0, 1, 2)
	require.NotNil(t, tracker.Holding(ids(7), at(3)))
	tracker.RecordAnswer(ids(7), at(3))
	assert.Nil(t, tracker.Holding(ids(7), at(3)))
}

func TestServersThatCrashTogetherAreOneOccasion(t *testing.T) {
	tracker := New(DefaultSettings())
	for i := range 40 {
		tracker.RecordCrash(server(i), ids(7), at(0.01*float64(i)), at(1))
	}
	assert.Nil(t, tracker.Holding(ids(7), at(1)))
}

func TestRequestsBesideTheOneThatCrashesServersAreNotBlamed(t *testing.T) {
	tracker := New(DefaultSettings())
	for i := range 4 {
		now := at(float64(i))
		tracker.RecordCrash(server(i), ids(7, PartID(50+i)), now, now)
		if i > 0 {
			tracker.RecordCrash(server(i), ids(8), now.Add(3*time.Millisecond), now)
		}
	}
	assert.NotNil(t, tracker.Holding(ids(7), at(5)))
	assert.Nil(t, tracker.Holding(ids(8), at(5)))
}

func TestSeveralPartsAreHeldAtOnce(t *testing.T) {
	tracker := New(DefaultSettings())
	for i := range 4 {
		for g := range 5 {
			now := at(float64(i) + float64(g)/10)
			tracker.RecordCrash(server(10*i+g), ids(1, PartID(70+g), PartID(1000+10*i+g)), now, now)
		}
		tracker.RecordAnswer(ids(1), at(float64(i)+0.6))
	}
	for g := range 5 {
		assert.NotNil(t, tracker.Holding(ids(1, PartID(70+g)), at(5)), g)
	}
	assert.Nil(t, tracker.Holding(ids(1, 2), at(5)))
}

// Two parts that always came together: only their combination is known to crash servers,
// and each request with one of them shows which of the two it was.
func TestPartsThatAlwaysCameTogetherAreHeldTogether(t *testing.T) {
	tracker := New(DefaultSettings())
	crashed(tracker, ids(7, 8), 0, 1, 2)
	require.NotNil(t, tracker.Holding(ids(7, 8), at(3)))
	assert.Nil(t, tracker.Holding(ids(7), at(3)))
	assert.Nil(t, tracker.Holding(ids(8), at(3)))

	t.Run("an answer to one", func(t *testing.T) {
		tracker.RecordAnswer(ids(8), at(3))
		assert.NotNil(t, tracker.Holding(ids(7), at(3)))
		assert.Nil(t, tracker.Holding(ids(8), at(3)))
	})
	t.Run("a crash under one", func(t *testing.T) {
		tracker := New(DefaultSettings())
		crashed(tracker, ids(7, 8), 0, 1, 2)
		crashed(tracker, ids(7), 3)
		assert.NotNil(t, tracker.Holding(ids(7), at(4)))
		assert.Nil(t, tracker.Holding(ids(8), at(4)))
	})
}

func TestCrashesExpire(t *testing.T) {
	tracker := New(DefaultSettings())
	crashed(tracker, ids(7), 0, 1, 2)
	require.NotNil(t, tracker.Holding(ids(7), at(300)))
	assert.Nil(t, tracker.Holding(ids(7), at(700)))
	assert.Empty(t, tracker.crashes)
	assert.Empty(t, tracker.byKey)
	assert.Empty(t, tracker.crashed)
}

func TestEvidenceIsBounded(t *testing.T) {
	s := DefaultSettings()
	tracker := New(s)
	crashed(tracker, ids(7), 0, 1, 2)
	for i := range 3 * s.MaxCrashes {
		now := at(3 + float64(i)/1000)
		tracker.RecordCrash(server(i), ids(PartID(1e6+i)), now, now)
		tracker.RecordAnswer(ids(PartID(1e6+i)), now)
	}
	for i := range 2 * s.MaxAnswered {
		tracker.RecordAnswer(ids(PartID(2e6+i)), at(8))
	}
	assert.LessOrEqual(t, len(tracker.crashes), s.MaxCrashes)
	assert.LessOrEqual(t, tracker.answered.lru.Len(), s.MaxAnswered)
	assert.NotNil(t, tracker.Holding(ids(7), at(8)), "crashes that are explained otherwise make room first")
	long := make([]PartID, 2*s.MaxParts)
	for i := range long {
		long[i] = PartID(i)
	}
	tracker.RecordCrash("x", long, at(8), at(8))
	assert.Len(t, tracker.crashes[len(tracker.crashes)-1].parts, s.MaxParts)
	assert.LessOrEqual(t, len(tracker.Report(true, at(8))), s.MaxFresh+s.MaxRepeated)
}

func TestEvidenceOfSeveralHostsAddsUpOnce(t *testing.T) {
	a, b, c := New(DefaultSettings()), New(DefaultSettings()), New(DefaultSettings())
	crashed(a, ids(7), 0, 2)
	crashed(b, ids(7), 1)
	for range 3 {
		a.Merge(b.Report(true, at(2)), at(2.1))
		b.Merge(a.Report(true, at(2.1)), at(2.2))
		c.Merge(a.Report(true, at(2.2)), at(2.3))
	}
	for i, tracker := range []*Tracker{a, b, c} {
		hold := tracker.Holding(ids(7), at(3))
		require.NotNil(t, hold, i)
		assert.Equal(t, 3, hold.Occasions)
		assert.Len(t, tracker.crashes, 3)
	}
	b.RecordAnswer(ids(7), at(4))
	a.Merge(b.Report(false, at(4)), at(4.1))
	assert.Nil(t, a.Holding(ids(7), at(5)))
}

func TestHostThatStartsLaterLearnsOfHeldParts(t *testing.T) {
	old, fresh := New(DefaultSettings()), New(DefaultSettings())
	crashed(old, ids(7), 0, 1, 2)
	for i := range 30 {
		now := at(60 + float64(i)/10)
		fresh.Merge(old.Report(true, now), now)
	}
	assert.NotNil(t, fresh.Holding(ids(7), at(70)))
	assert.Nil(t, fresh.Holding(ids(7), at(700)), "reports must not extend the retention")
}
