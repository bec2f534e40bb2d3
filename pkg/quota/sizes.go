package quota

import "time"

// An organisation over its quota gets more served if small requests are refused last: many
// of them use as much of the quota as a single large one.

// Classes of requests by size.
const (
	smallRequest = iota
	largeRequest
	sizeClasses
)

const (
	// sizesTimeConstant is the time constant of the sums over requests. One of many hosts
	// gets a large request every few seconds only.
	sizesTimeConstant = 30 * time.Second
	// smallShare is the size, as a share of the mean size, up to which a request is small.
	smallShare = 0.5
	// largeRequestShare is the share of the admit ratio of all requests that large requests
	// keep, so that they are never refused altogether.
	largeRequestShare = 0.5
)

// sizes are decaying sums over the requests of an organisation on this host.
type sizes struct {
	count, cost, smallCost float64
}

func (s *sizes) add(cost float64) {
	s.count++
	s.cost += cost
	if s.classOf(cost) == smallRequest {
		s.smallCost += cost
	}
}

func (s *sizes) classOf(cost float64) int {
	if cost*s.count <= smallShare*s.cost {
		return smallRequest
	}
	return largeRequest
}

func (s *sizes) decay(factor float64) {
	s.count *= factor
	s.cost *= factor
	s.smallCost *= factor
}

// smallDemand returns the demand of small requests, if their share is the same on all hosts.
func (k *bucket) smallDemand() float64 {
	if k.sizes.cost <= 0 {
		return 0
	}
	return k.demand * k.sizes.smallCost / k.sizes.cost
}

// classRatio returns the ratio of the requests of a class that a rate allows: all small ones
// if possible, and the large ones as far as the rest of the rate goes.
func (k *bucket) classRatio(class int, rate float64) float64 {
	ratio := k.admitRatioAt(rate)
	small := k.smallDemand()
	large := k.demand - small
	if ratio >= 1 || small <= 0 || large <= 0 {
		return ratio
	}
	largeRatio := max((rate-small)/large, largeRequestShare*ratio)
	if class == largeRequest {
		return largeRatio
	}
	return min(max((rate-largeRatio*large)/small, 0), 1)
}
