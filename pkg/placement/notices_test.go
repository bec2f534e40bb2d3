package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a server that returns, since its entry is written again or renewed without
// the word that it leaves.
func TestNoticeHoldsForTheLifeOfAServer(t *testing.T) {
	f := NewFleet(DefaultSettings())
	b := Backend{ID: "x", Service: "s", Address: "a", Incarnation: 1}
	now := time.Now()
	f.Update(b)
	require.True(t, f.Usable("x"))
	assert.True(t, f.NoteLeaving(&b, now))
	assert.False(t, f.NoteLeaving(&b, now), "known already")
	assert.False(t, f.Usable("x"))
	f.Update(b)
	assert.False(t, f.Usable("x"))
	f.Remove("x")
	f.Update(b)
	assert.False(t, f.Usable("x"))
	next := b
	next.Incarnation = 2
	f.Remove("x")
	f.Update(next)
	assert.True(t, f.Usable("x"), "the next life is not leaving")
	f.NoteLeaving(&b, now)
	assert.True(t, f.Usable("x"), "a late response of the earlier life")
}

func TestPauseEndsByItself(t *testing.T) {
	f := NewFleet(DefaultSettings())
	x, y := Backend{ID: "x", Service: "s", Address: "a"}, Backend{ID: "y", Service: "s", Address: "b"}
	f.Update(x)
	now := time.Now()
	f.NotePause(&x, 4*time.Second, now)
	f.NotePause(&x, time.Second, now)
	_, ok := f.Place(&Request{Service: "s"}, now.Add(3900*time.Millisecond))
	assert.False(t, ok, "a shorter pause does not end a longer one")
	end, ok := f.PauseEnd("s", now)
	require.True(t, ok)
	assert.Equal(t, now.Add(4*time.Second), end)
	plan, ok := f.Place(&Request{Service: "s"}, now.Add(4*time.Second))
	require.True(t, ok)
	assert.Equal(t, x.ID, plan.Run.ID)
	f.Update(y)
	_, ok = f.PauseEnd("s", now)
	assert.False(t, ok, "another server wants requests")
	plan, ok = f.Place(&Request{Service: "s"}, now)
	require.True(t, ok)
	assert.Equal(t, y.ID, plan.Run.ID)
}
