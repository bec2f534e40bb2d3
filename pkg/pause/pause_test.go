package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestForReturnsAfterTheDurationOrWhenTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		assert.NoError(t, For(t.Context(), time.Minute))
		assert.Equal(t, time.Minute, time.Since(started))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started = time.Now()
		assert.ErrorIs(t, For(ctx, time.Hour), context.DeadlineExceeded)
		assert.Equal(t, time.Second, time.Since(started))
		assert.ErrorIs(t, For(ctx, 0), context.DeadlineExceeded)
	})
}
