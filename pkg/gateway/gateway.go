package gateway

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/atmostonce"
	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// Deps are the parts of the host that the gateway uses.
type Deps struct {
	// Catalog returns the configuration in force, nil before the first.
	Catalog func() *catalog.Catalog
	Fleet   *placement.Fleet
	Pool    *upstream.Pool
	Dialect Dialect
	Limiter Limiter
	Usage   Usage
	Metrics *Metrics
	// Crashed spreads the digest of a request that crashed a backend server.
	Crashed func(digest string)
	Log     *zap.Logger
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	settings Settings
	deps     Deps
	budgets  *budgets
	crashes  *crashes
	// stopping asks callers to use other hosts.
	stopping atomic.Bool
	running  atomic.Int64
}

// New returns a gateway.
func New(s Settings, d Deps) *Gateway {
	return &Gateway{
		settings: s,
		deps:     d,
		budgets:  newBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		crashes:  newCrashes(),
	}
}

// NewServer returns a server for callers with the limits of the settings.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		IdleTimeout:       g.settings.IdleTimeout,
		MaxHeaderBytes:    g.settings.HeaderBytes,
	}
}

// Stop asks callers to use other hosts from now on.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Running counts the requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// SetRetrySlack changes this host's part of the slack of retries.
func (g *Gateway) SetRetrySlack(slack float64) { g.budgets.setSlack(slack) }

// call is one request of a caller. The goroutine of the request owns it.
type call struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	head     Head
	catalog  *catalog.Catalog
	route    *catalog.Route
	service  *catalog.Service
	org      *catalog.Organisation
	body     []byte
	arrived  time.Time
	deadline time.Time
	cost     float64
	digest   string
	outcome  atmostonce.Outcome
	attempts int
	// mayHaveRun counts the sends after which the request may have run.
	mayHaveRun int
	urgency    int
	place      placement.Request
	// events counts the events passed on, after is the last one's number.
	events   int
	after    string
	headSent bool
	firstAt  time.Time
	// sentAt is when the request was first sent to the server that runs it, readTook
	// the time of the latest prefill call.
	sentAt   time.Time
	readTook time.Duration
	counted  bool
	log      *zap.Logger
	// last is the latest plan, for the log.
	last placement.Plan
}

// refusal is a final answer of the host's own.
type refusal struct {
	status int
	// retryAfter is when the caller should come back, 0 for none.
	retryAfter time.Duration
	reason     string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: time.Now()}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	head, finding := g.deps.Dialect.Head(r.Header)
	c.head = head
	c.log = g.deps.Log.With(zap.String("request", head.ID))
	if finding != "" {
		c.log.Info("a request header is not readable", zap.String("finding", finding))
	}
	if no := c.serve(); no != nil {
		c.refuse(no)
	}
}

// serve returns a refusal where nothing of an answer was written.
func (c *call) serve() *refusal {
	if no := c.authorise(); no != nil {
		return no
	}
	if no := c.readBody(); no != nil {
		return no
	}
	if c.crashSuspect() {
		return &refusal{status: http.StatusBadGateway, reason: "the request has crashed the backend servers that ran it"}
	}
	if no := c.takeQuota(); no != nil {
		return no
	}
	c.g.budgets.request(c.service.Name, c.arrived)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	var no *refusal
	if c.route.Kind == catalog.Streaming {
		no = c.runStream(ctx)
	} else {
		no = c.runPlain(ctx)
	}
	if no != nil && c.outcome.Ran() == model.NotRun {
		c.g.deps.Limiter.Return(c.orgID(), c.cost)
	}
	return no
}

func (c *call) orgID() model.OrganisationID {
	if c.org == nil {
		return ""
	}
	return c.org.ID
}

// authorise finds the route, the organisation and the deadline.
func (c *call) authorise() *refusal {
	c.catalog = c.g.deps.Catalog()
	if c.catalog == nil {
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: 500 * time.Millisecond, reason: "no configuration is known yet"}
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.catalog.Route(c.r.Host, path)
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	if len(c.catalog.Organisations) > 0 && !c.route.Public {
		c.org = c.catalog.Key(c.head.Key)
		if c.org == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "the key is not known"}
		}
	}
	c.service = c.catalog.Service(c.route.Pick(rand.Float64()))
	if c.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: time.Second, reason: "the route has no service"}
	}
	limit := c.route.Timeout
	if c.head.Deadline > 0 && (limit <= 0 || c.head.Deadline < limit) {
		limit = c.head.Deadline
	}
	if limit <= 0 {
		limit = time.Minute
	}
	c.deadline = c.arrived.Add(limit - c.g.settings.TimeoutMargin)
	c.urgency = c.rank()
	return nil
}

// Ranks at engines. The organisation's priority goes before the route's.
const (
	urgencyLeast    = 9
	urgencyPerLevel = 3
)

func (c *call) rank() int {
	rank := c.route.Priority
	if c.org != nil {
		rank += c.org.Priority * urgencyPerLevel
	}
	return min(max(rank, 0), urgencyLeast)
}

func (c *call) readBody() *refusal {
	limit := c.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = c.g.settings.BodyBytes
	}
	if c.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	size := max(c.r.ContentLength, 0)
	body := make([]byte, 0, size+1)
	reader := io.LimitReader(c.r.Body, limit+1)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return &refusal{status: http.StatusBadRequest, reason: "the body could not be read"}
		}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	c.body = body
	return nil
}

func (c *call) takeQuota() *refusal {
	c.cost = 1
	if c.org != nil && c.org.ByTokens {
		c.cost = c.org.PlainCost
		if c.head.Sized {
			c.cost = float64(c.head.PromptTokens + c.head.OutputTokens)
		}
	}
	if c.org == nil {
		return nil
	}
	ok, wait := c.g.deps.Limiter.Admit(c.org.ID, c.cost, c.arrived)
	if ok {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, retryAfter: wait, reason: "the organisation is over its quota"}
}

// left is how long the caller still waits.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// retryAfter bounds the time to come back and spreads it, so that callers who
// were refused together do not return together.
func (c *call) retryAfter(d time.Duration) time.Duration {
	s := c.g.settings
	d = min(max(d, s.RetryAfterLeast), s.RetryAfterMost)
	return d + time.Duration(rand.Float64()*0.5*float64(d))
}

// refuse writes a final answer of the host's own.
func (c *call) refuse(no *refusal) {
	ran := c.outcome.Ran()
	if ran != model.NotRun && !c.route.Repeatable() && promises(no.status) {
		// A promise that the request has not run must be true.
		no.status = http.StatusBadGateway
		no.retryAfter = 0
	}
	h := c.w.Header()
	h["Content-Type"] = nil
	if no.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(c.retryAfter(no.retryAfter).Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Length", "0")
	c.w.WriteHeader(no.status)
	c.report(no.status, no.reason)
}

func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// report logs and counts the end of a request.
func (c *call) report(status int, reason string) {
	now := time.Now()
	c.g.deps.Metrics.request(c, status, reason, now)
	fields := []zap.Field{
		zap.Int("status", status),
		zap.Duration("took", now.Sub(c.arrived)),
		zap.Int("attempts", c.attempts),
		zap.String("ran", string(c.outcome.Ran())),
		zap.String("backend", string(c.last.Run.ID)),
		zap.Duration("predicted", c.last.Predicted),
		zap.Duration("waiting", c.last.Waiting),
		zap.Int("uncached", c.last.Uncached),
		zap.Int("events", c.events),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.Uint64("configuration", c.catalog.Version))
	}
	if c.org != nil {
		fields = append(fields, zap.String("organisation", string(c.org.ID)), zap.Float64("cost", c.cost))
	}
	if c.last.Prefill != nil {
		fields = append(fields, zap.String("prefill", string(c.last.Prefill.ID)), zap.Duration("read", c.readTook))
	}
	if !c.sentAt.IsZero() {
		fields = append(fields, zap.Duration("sent", c.sentAt.Sub(c.arrived)))
	}
	if c.last.Fetch != nil {
		fields = append(fields, zap.String("fetched_from", string(c.last.Fetch.ID)))
	}
	if !c.firstAt.IsZero() {
		fields = append(fields, zap.Duration("first_event", c.firstAt.Sub(c.arrived)))
	}
	if reason == "" {
		c.log.Info("request finished", fields...)
		return
	}
	c.log.Warn("request not served", append(fields, zap.String("reason", reason))...)
}

// began counts a request that began to run.
func (c *call) began() {
	if c.counted {
		return
	}
	c.counted = true
	if c.org != nil {
		c.g.deps.Usage.Began(c.org.ID)
	}
}

// outgoing builds the request to a backend server.
func (c *call) outgoing(b *placement.Backend, o Outgoing) (*http.Request, error) {
	o.Instance = b.ID
	o.Organisation = c.orgID()
	o.Deadline = c.left()
	o.Urgency = -1
	if b.Engine != nil {
		o.Urgency = c.urgency
	}
	req, err := http.NewRequest(c.r.Method, "http://"+b.Address, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build the request to a backend server")
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
