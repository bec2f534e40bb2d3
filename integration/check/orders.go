package check

import (
	"fmt"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Rules of P1 and P3.
const (
	RuleOverlappingOrders  Rule = "order during another order"
	RuleOrderIDReused      Rule = "order id with other content"
	RuleSharedFence        Rule = "one fencing number from two hosts"
	RuleNoClaim            Rule = "fencing number without a winning claim"
	RuleNoIntent           Rule = "order without a valid logged intent"
	RuleOldFenceTookEffect Rule = "order with an old fencing number took effect"
)

// engineOrders holds the orders that one engine has received and accepted so far.
type engineOrders struct {
	open    *record.Event
	byID    map[string]engine.Order
	holders map[model.Offset]model.HostID
	highest *record.Event
	fence   model.Offset
}

// ConflictingOrders checks P1 on the orders that engines accepted. Orders that an
// engine refused because of their fencing token do not count: preventing such
// conflicts is the purpose of the token.
func ConflictingOrders(r *Recording) []Violation {
	var found []Violation
	engines := map[string]*engineOrders{}
	for i := range r.Events {
		e := &r.Events[i]
		o := engines[e.Component]
		if o == nil {
			o = &engineOrders{byID: map[string]engine.Order{}, holders: map[model.Offset]model.HostID{}}
			engines[e.Component] = o
		}
		switch e.Kind {
		case record.Received:
			found = append(found, o.receive(e)...)
		case record.OrderAccepted:
			found = append(found, o.accept(e)...)
		case record.OrderEnded, record.Crashed:
			o.open = nil
		}
	}
	return found
}

// receive checks that all orders with the same ID are identical.
func (o *engineOrders) receive(e *record.Event) []Violation {
	order, ok := decodeBody[engine.Order](e)
	if e.Path != engine.PathOrders || !ok {
		return nil
	}
	first, known := o.byID[order.OrderID]
	o.byID[order.OrderID] = order
	if !known || first == order {
		return nil
	}
	message := fmt.Sprintf("engine %s received order id %s with other content", e.Component, order.OrderID)
	return []Violation{{P1, RuleOrderIDReused, message, eventEvidence(e)}}
}

func (o *engineOrders) accept(e *record.Event) []Violation {
	order, ok := decodeBody[engine.Order](e)
	if !ok {
		return nil
	}
	var found []Violation
	add := func(rule Rule, message string, evidence ...*record.Event) {
		found = append(found, Violation{P1, rule, message, eventEvidence(evidence...)})
	}
	if o.open != nil {
		add(RuleOverlappingOrders, fmt.Sprintf("engine %s accepted order %s while it carried out another", e.Component, order.OrderID), o.open, e)
	}
	if host, known := o.holders[order.Fence]; known && host != order.Host {
		add(RuleSharedFence, fmt.Sprintf("engine %s received fencing number %d from %s and %s", e.Component, order.Fence, host, order.Host), e)
	}
	if o.highest != nil && order.Fence < o.fence {
		add(RuleOldFenceTookEffect, fmt.Sprintf("engine %s accepted fencing number %d after %d", e.Component, order.Fence, o.fence), o.highest, e)
	} else {
		o.highest, o.fence = e, order.Fence
	}
	o.open = e
	o.holders[order.Fence] = order.Host
	return found
}

// effect is an order or report that took effect.
type effect struct {
	event *record.Event
	id    string
	host  model.HostID
	fence model.Offset
	// group names the target of the effect: within a group, fencing tokens must not
	// decrease.
	group string
	// needsIntent is set for orders, whose intent is logged before they are sent.
	needsIntent bool
}

func effectOf(e *record.Event) (effect, bool) {
	switch e.Kind {
	case record.OrderApplied:
		o, ok := decodeBody[engine.Order](e)
		// Loading the model when the engine starts is not an order of a host.
		ok = ok && o.OrderID != enginesim.StartOrderID
		return effect{e, o.OrderID, o.Host, o.Fence, e.Component, true}, ok
	case record.BackendOrdered:
		o, ok := decodeBody[platform.BackendOrder](e)
		return effect{e, o.OrderID, o.Host, o.Fence, "backend orders", true}, ok && e.Detail == ""
	case record.UsageAccepted:
		u, ok := decodeBody[platform.UsageReport](e)
		return effect{e, u.ReportID, u.Host, u.Fence, string(u.Shard), false}, ok
	}
	return effect{}, false
}

// OrdersWithoutAuthority checks P3: every order and report that took effect came
// from a host that had won its claim, an order only if the host held the shard when
// it logged the order, and none took effect after one of a successor.
func OrdersWithoutAuthority(r *Recording) []Violation {
	var found []Violation
	history := r.claimHistory()
	highest := map[string]effect{}
	for i := range r.Events {
		x, ok := effectOf(&r.Events[i])
		if !ok {
			continue
		}
		if v, violated := history.checkEffect(&x); violated {
			found = append(found, v)
		}
		last, known := highest[x.group]
		if known && x.fence < last.fence {
			found = append(found, Violation{P3, RuleOldFenceTookEffect,
				fmt.Sprintf("%s with fencing number %d took effect after one with %d", x.id, x.fence, last.fence),
				eventEvidence(last.event, x.event)})
			continue
		}
		highest[x.group] = x
	}
	return found
}

func (a *claimHistory) checkEffect(x *effect) (Violation, bool) {
	if len(a.find(x.fence, x.host)) == 0 {
		message := fmt.Sprintf("host %s never won a claim at offset %d", x.host, x.fence)
		return Violation{P3, RuleNoClaim, message, eventEvidence(x.event)}, true
	}
	if x.needsIntent && !a.validIntent(x.id, x.fence, x.host) {
		message := fmt.Sprintf("order %s of host %s has no intent that was logged while it held the shard", x.id, x.host)
		return Violation{P3, RuleNoIntent, message, eventEvidence(x.event)}, true
	}
	return Violation{}, false
}
