package admission

import (
	"math"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// Priorities of requests in the engines' queues; higher ones are served first.
const (
	PriorityLow    = 0
	PriorityNormal = 1
	PriorityHigh   = 2
)

// Reasons for a rejection. Callers receive these texts.
const (
	ReasonDeadline  = "the time to first token would miss the deadline"
	ReasonFairShare = "the organisation is over its fair share and the fleet is busy"
)

// Verdict is the decision on one request.
type Verdict struct {
	OK bool
	// Priority is the priority in the engine's queue.
	Priority int
	// RetryAfter is the predicted time until a similar request is admitted.
	RetryAfter time.Duration
	Reason     string
}

// Controller admits or rejects the requests of one host. It is safe for
// concurrent use. Each admitted request to an engine pool must end with a call of
// Done, even if it failed.
type Controller struct {
	mu            sync.Mutex
	settings      Settings
	organisations map[model.OrganisationID]*orgUsage
	// level is the fair usage per unit of weight; see fairLevel.
	level           float64
	levelComputedAt time.Time
	// outputTokens is a moving average of the output length, used as the estimate
	// for new requests.
	outputTokens float64
	// rejected is a moving average of the share of requests that are rejected.
	rejected float64
}

// NewController returns a controller without organisations.
func NewController(settings Settings) *Controller {
	return &Controller{
		settings:      settings.withDefaults(),
		organisations: map[model.OrganisationID]*orgUsage{},
		level:         math.Inf(1),
		outputTokens:  200,
	}
}

// SetWeight sets an organisation's weight in fair sharing. A weight that is not
// positive counts as 1.
func (c *Controller) SetWeight(org model.OrganisationID, weight float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if weight <= 0 {
		weight = 1
	}
	c.orgUsage(org).weight = weight
}

// Admit decides whether to admit a request for which routing has selected a
// backend server.
func (c *Controller) Admit(r *routing.Request, d routing.Decision, now time.Time) Verdict {
	if r.Kind == model.PoolService {
		return Verdict{OK: true, Priority: PriorityNormal}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLevel(now)
	a := c.orgUsage(r.Organisation)
	cost := c.cost(max(0, r.PromptTokens-d.CachedTokens), c.expectedOutput(r))
	usageRatio := a.usage() / (c.level * a.weight)
	limit := c.limit(usageRatio)
	if c.tooLate(d, limit) {
		a.rejected += cost
		c.rejected += rejectionWeight * (1 - c.rejected)
		reason := ReasonDeadline
		if !c.tooLate(d, c.limit(0)) {
			reason = ReasonFairShare
		}
		return Verdict{
			Priority:   PriorityLow,
			RetryAfter: c.retryAfter(min(d.Waiting, d.Predicted-limit)),
			Reason:     reason,
		}
	}
	c.rejected -= rejectionWeight * c.rejected
	// The expected cost counts immediately, so that a burst is not admitted in
	// full before its first response ends.
	a.pending += cost
	a.running++
	if d.Predicted > limit {
		usageRatio = math.Inf(1)
	}
	return Verdict{OK: true, Priority: priority(usageRatio)}
}

// tooLate reports whether to reject a request because of its predicted times. A
// prompt that is late because of its own length is not rejected while little
// work is queued ahead of it: a retry would not be faster, and running it brings
// its prefix into a cache. It is admitted with the lowest priority.
func (c *Controller) tooLate(d routing.Decision, limit time.Duration) bool {
	if d.TokenGap > c.settings.TokenGapLimit {
		return true
	}
	if d.Predicted <= limit {
		return false
	}
	ownTime := d.Predicted - d.Waiting
	maxWait := time.Duration(float64(limit) * c.settings.LatePromptWait)
	return ownTime <= limit-maxWait || d.Waiting > maxWait
}

// Done records the end of an admitted request, with its uncached prompt tokens
// and its output tokens.
func (c *Controller) Done(org model.OrganisationID, promptTokens, outputTokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLevel(now)
	a := c.orgUsage(org)
	if a.running > 0 {
		// The expected costs of single requests are not kept, so the mean of the
		// running ones is removed.
		a.pending -= a.pending / float64(a.running)
		a.running--
	}
	a.used += c.cost(promptTokens, outputTokens)
	c.outputTokens += outputWeight * (float64(outputTokens) - c.outputTokens)
}

// Usage returns the decayed cost of an organisation's ended requests plus the
// expected cost of its running ones.
func (c *Controller) Usage(org model.OrganisationID, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLevel(now)
	a := c.organisations[org]
	if a == nil {
		return 0
	}
	return a.usage()
}

func (c *Controller) cost(promptTokens, outputTokens int) float64 {
	return c.settings.PromptCost*float64(promptTokens) + c.settings.OutputCost*float64(outputTokens)
}

func (c *Controller) expectedOutput(r *routing.Request) int {
	output := int(c.outputTokens)
	if r.MaxTokens > 0 {
		output = min(output, r.MaxTokens)
	}
	return output
}

// Weights of a new sample in the moving averages.
const (
	rejectionWeight = 0.02
	outputWeight    = 0.02
)

// Thresholds of an organisation's usage, as a multiple of its fair share, for the
// priority of its requests.
const (
	highPriorityBelow = 0.8
	lowPriorityAbove  = 1.25
)

func priority(usageRatio float64) int {
	switch {
	case usageRatio > lowPriorityAbove:
		return PriorityLow
	case usageRatio < highPriorityBelow:
		return PriorityHigh
	}
	return PriorityNormal
}

// limit is the longest predicted time that is admitted for an organisation with
// the given usage, as a multiple of its fair share.
func (c *Controller) limit(usageRatio float64) time.Duration {
	full := float64(c.settings.FirstTokenLimit) * c.settings.LimitFactor
	if usageRatio <= 1 {
		return time.Duration(full)
	}
	// From twice the fair share on, the limit is at ContentionStart.
	excess := min(1, usageRatio-1)
	part := 1 - excess*(1-c.settings.ContentionStart)
	return time.Duration(full * part)
}

// retryAfter estimates the time until the queue is shorter by the excess. Admitted
// requests continue to fill it, so it shrinks only in proportion to the share of
// requests that are rejected.
func (c *Controller) retryAfter(excess time.Duration) time.Duration {
	drained := float64(excess) / max(0.1, c.rejected)
	wait := max(c.settings.MinRetryAfter, time.Duration(drained))
	return min(wait, c.settings.MaxRetryAfter)
}

func (c *Controller) orgUsage(org model.OrganisationID) *orgUsage {
	u := c.organisations[org]
	if u == nil {
		u = &orgUsage{weight: 1}
		c.organisations[org] = u
	}
	return u
}
