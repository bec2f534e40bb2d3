package gateway

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/placequery"
)

// ErrNoConfiguration means that the host knows no configuration yet.
var ErrNoConfiguration = errors.New("no configuration is known yet")

// placer places requests. placement.Fleet is one.
type placer interface {
	Place(r *placement.Request, now time.Time) (placement.Plan, bool)
	ReturnTime(name model.PoolName, now time.Time) (time.Time, bool)
}

// placer returns what places the request.
func (c *call) placer() placer {
	if c.explainer != nil {
		return c.explainer
	}
	return c.g.deps.Fleet
}

// explainer is a placer that keeps its explanation and leaves no trace of the request.
type explainer struct {
	fleet       *placement.Fleet
	explanation placement.Explanation
}

// Place implements placer.
func (e *explainer) Place(r *placement.Request, now time.Time) (placement.Plan, bool) {
	e.explanation = e.fleet.Explain(*r, now)
	return e.explanation.Plan, e.explanation.Placed
}

// ReturnTime implements placer.
func (e *explainer) ReturnTime(model.PoolName, time.Time) (time.Time, bool) {
	return e.explanation.ReturnAt, !e.explanation.ReturnAt.IsZero()
}

// Explain answers where a request would go now, with the code that places requests, and
// sends nothing. Keys, quotas and earlier crashes of the same request are not considered.
// The error is a *placequery.FieldError or ErrNoConfiguration.
func (g *Gateway) Explain(q placequery.Query) (placequery.Answer, error) {
	now := time.Now()
	e := &explainer{fleet: g.deps.Fleet}
	c := &call{g: g, arrived: now, catalog: g.deps.Catalog(), explainer: e}
	if c.catalog == nil {
		return placequery.Answer{}, ErrNoConfiguration
	}
	if c.route = c.catalog.Route(q.Host, q.Path); c.route == nil {
		return placequery.Answer{}, &placequery.FieldError{Field: placequery.FieldPath, Message: "no route of the configuration matches the host and the path"}
	}
	name, err := chooseService(c.route, q.Service)
	if err != nil {
		return placequery.Answer{}, err
	}
	if c.service = c.catalog.Service(name); c.service == nil {
		return placequery.Answer{}, &placequery.FieldError{Field: placequery.FieldService, Message: "the configuration has no service " + string(name)}
	}
	c.metadata = RequestMetadata{Deadline: q.Deadline, PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, HasTokenCounts: true, Parts: q.Parts}
	c.setDeadline()
	c.shared = sharedParts(q.Parts)
	c.initPlacement()
	c.placementRequest.Exclude = slices.Clone(q.Exclude)
	rejected := c.rejectIfTooLate()
	if rejected == nil {
		_, rejected = c.choosePlan()
	}
	if e.explanation.Servers == nil {
		// The request is refused before it is placed. The servers are stated all the same.
		e.explanation = e.fleet.Explain(c.placementRequest, now)
	}
	answer := placequery.NewAnswer(e.explanation, now)
	answer.Route, answer.Service = c.route.Name, c.service.Name
	answer.DeadlineMS = float64(c.deadline.Sub(now).Milliseconds())
	if rejected != nil {
		answer.Refusal = c.explainRejection(rejected)
	} else {
		cheapest := answer.Plans[0]
		answer.Plan = &cheapest
	}
	return answer, nil
}

// chooseService returns the service of a request to a route. A route with several needs to
// be told which, since hosts draw it for each request.
func chooseService(r *catalog.Route, asked model.PoolName) (model.PoolName, error) {
	names := make([]string, len(r.Split))
	for i, s := range r.Split {
		names[i] = string(s.Service)
		if s.Service == asked {
			return asked, nil
		}
	}
	switch {
	case len(names) == 0:
		return "", &placequery.FieldError{Field: placequery.FieldPath, Message: "the route has no service"}
	case asked != "":
		return "", &placequery.FieldError{Field: placequery.FieldService, Message: "the route's services are " + strings.Join(names, ", ")}
	case len(names) > 1:
		return "", &placequery.FieldError{Field: placequery.FieldService, Message: "is needed: the route's services are " + strings.Join(names, ", ")}
	}
	return r.Split[0].Service, nil
}

// explainRejection returns what a caller would be told.
func (c *call) explainRejection(r *rejection) *placequery.Refusal {
	refusal := &placequery.Refusal{Status: r.status, Reason: r.reason}
	if r.retryAfter > 0 && r.status == http.StatusServiceUnavailable {
		refusal.RetryAfterMS = float64(c.clampRetryAfter(r.retryAfter).Microseconds()) / 1000
	}
	return refusal
}
