package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/membudget"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quarantine"
)

// call is the state of one request from a caller. The goroutine that serves the request
// owns it.
type call struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	metadata RequestMetadata
	catalog  *catalog.Catalog
	route    *catalog.Route
	service  *catalog.Service
	org      *catalog.Organisation
	body     []byte
	// responseMemory and requestMemory pay for the bytes of responses and of the body.
	responseMemory, requestMemory *membudget.Lease

	arrived  time.Time
	deadline time.Time
	cost     float64
	digest   string
	// shared are the parts of the prompt that other requests may have too, heldParts the
	// names of those for which the request was held back.
	shared    []quarantine.PartID
	heldParts string
	// runEventAt is when the latest run sent its first event, answerRecorded is set once
	// that run has answered the prompt.
	runEventAt     time.Time
	answerRecorded bool
	outcome        atmostonce.Outcome
	// earlierStates are the states of the attempts before the latest.
	earlierStates []atmostonce.State
	attempts      int
	// possibleRuns counts the attempts that may have run the request.
	possibleRuns     int
	urgency          int
	placementRequest placement.Request
	// events counts the events forwarded to the caller.
	events int
	// earlierEvents counts those of the attempts before the latest.
	earlierEvents int
	// lastEventID is the id of the last event that the caller has received.
	lastEventID string
	headerSent  bool
	// held collects a stream for a caller that knows no chunks, nil for others.
	held        *heldResponse
	firstByteAt time.Time
	// lastEventAt is when events were last forwarded, longestPause the longest time
	// between two such writes.
	lastEventAt  time.Time
	longestPause time.Duration
	// firstSentAt is when the request was first sent to be run, after any prefill;
	// prefillDuration is the duration of the latest prefill call.
	firstSentAt     time.Time
	prefillDuration time.Duration
	// lastSentAt is when the latest attempt was made.
	lastSentAt time.Time
	// sentTo are the addresses to which the request was sent, also for a prefill.
	sentTo []string
	// leftServers are the servers that were left because they were silent, the latest last.
	leftServers []leftServer
	// reserved is set by the watchdog of an attempt that has reserved a retry, until the
	// attempt has ended.
	reserved atomic.Bool
	// returns counts the returns to such servers.
	returns int
	// prefillCalls counts the calls to prefill engines.
	prefillCalls int
	// prefillRefused is set if the prefill engine refused the latest prefill call.
	prefillRefused bool
	usageCounted   bool
	log            *zap.Logger
	// denied is set if the configuration denies the request, and configurationAge is then
	// the age of the configuration.
	denied           bool
	configurationAge time.Duration
	// lastPlan is the latest placement, kept for the log.
	lastPlan placement.Plan
	// explainer places the request if it is only asked about, nil for others.
	explainer *explainer
}

// rejection is a final response that the host itself produces.
type rejection struct {
	status int
	// retryAfter is the delay for the Retry-After header, 0 to omit the header.
	retryAfter time.Duration
	reason     string
}

// serve handles the request. If it returns a rejection, no part of a response has been
// written.
func (c *call) serve() *rejection {
	if rejected := c.authorise(); rejected != nil {
		return rejected
	}
	if rejected := c.rejectIfTooLate(); rejected != nil {
		return rejected
	}
	if rejected := c.readBody(); rejected != nil {
		return rejected
	}
	if rejected := c.rejectIfTooLate(); rejected != nil {
		return rejected
	}
	if c.crashSuspect() {
		return &rejection{status: http.StatusBadGateway, reason: "the request has crashed the backend servers that ran it"}
	}
	c.shared = sharedParts(c.metadata.Parts)
	if rejected := c.rejectHeldPart(); rejected != nil {
		return rejected
	}
	if rejected := c.chargeQuota(); rejected != nil {
		return rejected
	}
	c.g.retryBudgets.addRequest(c.service.Name, c.arrived)
	defer c.releaseReservations()
	ctx, cancel := c.runContext()
	defer cancel()
	var rejected *rejection
	if c.route.Kind == catalog.Streaming {
		rejected = c.runStream(ctx)
	} else {
		rejected = c.runPlain(ctx)
	}
	if rejected != nil && c.outcome.Ran() == model.NotRun {
		c.g.deps.Limiter.Refund(c.orgID(), c.cost)
	}
	return rejected
}

func (c *call) orgID() model.OrganisationID {
	if c.org == nil {
		return ""
	}
	return c.org.ID
}

// authorise determines the route, the organisation, the service and the deadline of
// the request.
func (c *call) authorise() *rejection {
	c.catalog = c.g.deps.Catalog()
	if c.catalog == nil {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: 500 * time.Millisecond, reason: "no configuration is known yet"}
	}
	if denied := c.findRouteAndKey(); denied != nil {
		if denied = c.reviewDenial(denied); denied != nil {
			return denied
		}
	}
	c.service = c.catalog.Service(c.route.PickService(rand.Float64()))
	if c.service == nil {
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "the route has no service"}
	}
	c.setDeadline()
	c.urgency = c.engineUrgency()
	return nil
}

// setDeadline sets the deadline from the limit of the route and that of the caller.
func (c *call) setDeadline() {
	limit := c.route.Timeout
	if c.metadata.Deadline > 0 && (limit <= 0 || c.metadata.Deadline < limit) {
		limit = c.metadata.Deadline
	}
	if limit <= 0 {
		limit = time.Minute
	}
	c.deadline = c.arrived.Add(limit - c.g.settings.TimeoutMargin)
}

// findRouteAndKey determines the route and the organisation of the request by the
// configuration.
func (c *call) findRouteAndKey() *rejection {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.catalog.Route(c.r.Host, path)
	if c.route == nil {
		return &rejection{status: http.StatusNotFound, reason: "no route matches"}
	}
	if len(c.catalog.Organisations) > 0 && !c.route.Public {
		c.org = c.catalog.Key(c.metadata.Key)
		if c.org == nil {
			return &rejection{status: http.StatusUnauthorized, reason: "the key is not known"}
		}
	}
	return nil
}

// reviewDenial decides again on a request that the configuration denies. Callers don't
// return after a denial, but a newer configuration than this host knows may allow the
// request.
func (c *call) reviewDenial(denied *rejection) *rejection {
	if c.g.deps.ConfigurationAge != nil {
		c.configurationAge = c.g.deps.ConfigurationAge()
		c.catalog = c.g.deps.Catalog()
		if denied = c.findRouteAndKey(); denied == nil {
			return nil
		}
	}
	if c.configurationAge > c.g.settings.MaxDenialAge {
		denied.status, denied.retryAfter = http.StatusServiceUnavailable, 500*time.Millisecond
		denied.reason += ", and a newer configuration may be in force"
	}
	c.denied = true
	return denied
}

// Urgency of requests at engines, where 0 is served first. An organisation's priority
// outweighs the route's.
const (
	lowestUrgency      = 9
	urgencyPerPriority = 3
)

func (c *call) engineUrgency() int {
	engineUrgency := c.route.Priority
	if c.org != nil {
		engineUrgency += c.org.Priority * urgencyPerPriority
	}
	return min(max(engineUrgency, 0), lowestUrgency)
}

// pieceBytes is the size of the buffers in which a body of unknown length is collected.
const pieceBytes = 16 << 10

// collectBody reads the body, and one byte more than the limit of a longer one. The lease
// pays for it.
func (c *call) collectBody(limit int64) ([]byte, error) {
	reader := io.LimitReader(c.r.Body, limit+1)
	if size := c.r.ContentLength; size >= 0 {
		if err := c.requestMemory.Grow(size); err != nil {
			return nil, err
		}
		body := make([]byte, size)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	var pieces [][]byte
	size := 0
	for {
		if last := len(pieces) - 1; last < 0 || len(pieces[last]) == pieceBytes {
			if err := c.requestMemory.Grow(pieceBytes); err != nil {
				return nil, err
			}
			pieces = append(pieces, make([]byte, 0, pieceBytes))
		}
		last := len(pieces) - 1
		n, err := reader.Read(pieces[last][len(pieces[last]):pieceBytes])
		pieces[last] = pieces[last][:len(pieces[last])+n]
		size += n
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if err := c.requestMemory.Grow(int64(size)); err != nil {
		return nil, err
	}
	body := slices.Concat(pieces...)
	c.requestMemory.Shrink(int64(len(pieces) * pieceBytes))
	return body, nil
}

func (c *call) readBody() *rejection {
	limit := c.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = c.g.settings.BodyBytes
	}
	if c.r.ContentLength > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	defer c.stopReadingAtEnd()()
	body, err := c.collectBody(limit)
	switch {
	case errors.Is(err, membudget.ErrExhausted):
		return &rejection{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "the host has no memory for the body"}
	case err != nil && c.g.ending.Err() != nil:
		return c.stopped()
	case err != nil:
		return &rejection{status: http.StatusBadRequest, reason: "the body could not be read"}
	}
	if int64(len(body)) > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	c.body = body
	return nil
}

func (c *call) chargeQuota() *rejection {
	c.cost = 1
	if c.org != nil && c.org.QuotaInTokens {
		c.cost = c.org.DefaultCost
		if c.metadata.HasTokenCounts {
			c.cost = float64(c.metadata.PromptTokens + c.metadata.OutputTokens)
		}
	}
	if c.org == nil {
		return nil
	}
	ok, wait := c.g.deps.Limiter.Admit(c.org.ID, c.cost, c.arrived)
	if ok {
		return nil
	}
	return &rejection{status: http.StatusTooManyRequests, retryAfter: wait, reason: "the organisation is over its quota"}
}

// countUsage counts the request in its organisation's usage when it has started to run;
// later calls do nothing.
func (c *call) countUsage() {
	if c.usageCounted {
		return
	}
	c.usageCounted = true
	if c.org != nil {
		c.g.deps.Usage.CountRequest(c.org.ID)
	}
}

// buildRequest builds the request to a backend server. The request target and the body
// are those of the caller.
func (c *call) buildRequest(b *placement.Backend, o OutgoingMetadata) (*http.Request, error) {
	o.Instance = b.ID
	o.Organisation = c.orgID()
	o.Deadline = c.remaining()
	o.Urgency = -1
	if b.Engine != nil {
		o.Urgency = c.urgency
	}
	req, err := http.NewRequest(c.r.Method, "http://"+b.Address, nil)
	if err != nil {
		return nil, eris.Wrap(errConnect, err.Error())
	}
	req.URL.Opaque = c.r.RequestURI
	req.Host = c.r.Host
	req.Header = c.g.deps.Dialect.Request(c.r.Header, o)
	if len(c.body) > 0 || c.r.ContentLength != 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	return req, nil
}
