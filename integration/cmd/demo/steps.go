package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	hostCount    = 3
	engineCount  = 12
	serviceCount = 3
	// A model response has tokensPerResponse tokens. Every host receives
	// requestsPerMode streaming requests and as many non-streaming ones.
	tokensPerResponse = 20
	requestsPerMode   = 5
	stopTimeout       = 15 * time.Second
	retryDelay        = 200 * time.Millisecond
	callerKeyID       = model.KeyID("toledo-1")
	organisation      = "casa-toledo"
	shop              = "toledo-pereira"
	idempotencyKey    = "demo-reservation-7"
)

type step struct {
	title string
	run   func(context.Context) error
}

// demo is the state that the steps share.
type demo struct {
	dir           string
	started       time.Time
	binaries      harness.Binaries
	deployment    *example.Deployment
	key           string
	nonStreaming  int
	streaming     int
	retries       int
	lastRequestID string
	lastHost      *example.Host
}

func (d *demo) steps() []step {
	return []step{
		{"build the programs", d.build},
		{fmt.Sprintf("start the simulated platform, %d engines and %d services", engineCount, serviceCount), d.start},
		{fmt.Sprintf("start %d entry hosts", hostCount), d.startHosts},
		{"configure organisations, keys, shops, offers, routes and pools with redwingctl", d.configure},
		{"wait until every host serves a request with the adapter of the offer", d.awaitFirstResponse},
		{"send streaming and non-streaming model requests through every host", d.serve},
		{"send one reservation twice, through two hosts, with one Idempotency-Key", d.reserve},
		{"query what runs where and for which organisation", d.queryPlacement},
		{"query why a request was routed to its backend server", d.explain},
		{"stop the hosts gracefully", d.stop},
	}
}

func (d *demo) build(ctx context.Context) (err error) {
	d.binaries, err = harness.Build(ctx, d.dir)
	return err
}

func (d *demo) start(context.Context) (err error) {
	d.deployment, err = example.Start(example.Config{
		Example: example.Duelas, Binaries: d.binaries, Root: "..", Dir: d.dir,
		Hosts: hostCount, Engines: engineCount, Services: serviceCount,
	})
	return err
}

func (d *demo) startHosts(ctx context.Context) error { return d.deployment.StartHosts(ctx) }

// configure applies the example configuration and opens one shop at all hours, so that
// the demo does not depend on the time of day.
func (d *demo) configure(ctx context.Context) error {
	keys, err := d.deployment.Configure(ctx, d.deployment.Hosts[0])
	if err != nil {
		return err
	}
	d.key = keys[callerKeyID]
	if d.key == "" {
		return eris.Errorf("key %s was not granted", callerKeyID)
	}
	return d.runStatement(ctx, d.deployment.Hosts[1], "change shop "+shop+" hours always")
}

// awaitFirstResponse waits until each host serves a model request, which requires that
// the engines have loaded the adapter of the offer.
func (d *demo) awaitFirstResponse(ctx context.Context) error {
	for _, h := range d.deployment.Hosts {
		if _, err := d.deployment.AwaitChat(ctx, h, d.key, d.deployment.ChatBody(false, 1, "are you there?")); err != nil {
			return eris.Wrapf(err, "host %s", h.ID)
		}
	}
	return nil
}

func (d *demo) serve(ctx context.Context) error {
	for i := range requestsPerMode {
		for _, h := range d.deployment.Hosts {
			if err := d.sendChat(ctx, h, i, false); err != nil {
				return err
			}
			d.nonStreaming++
			if err := d.sendChat(ctx, h, i, true); err != nil {
				return err
			}
			d.streaming++
		}
	}
	return nil
}

func (d *demo) sendChat(ctx context.Context, h *example.Host, i int, stream bool) error {
	body := d.deployment.ChatBody(stream, tokensPerResponse, fmt.Sprintf("price lot %d of the oak staves", i))
	response, err := d.call(ctx, h.Callers+"/v1/chat/completions", body, example.Header(d.key))
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return eris.Errorf("host %s responded with %d %s", h.ID, response.Status, response.Body)
	}
	if got := strings.Count(response.Body, `"content":`); stream && (got < tokensPerResponse || !strings.Contains(response.Body, "[DONE]")) {
		return eris.Errorf("the stream from host %s has %d tokens of %d: %s", h.ID, got, tokensPerResponse, response.Body)
	}
	d.lastRequestID, d.lastHost = response.RequestID, h
	return nil
}

// call sends a request and retries it while the response has a Retry-After header:
// after a temporary rejection, and while the first execution of a request with the
// same idempotency key is still being recorded. Temporary rejections occur in the
// first seconds of a deployment, when shards move between hosts and their new
// organisation rate coordinators wait before they issue grants.
func (d *demo) call(ctx context.Context, url, body string, header http.Header) (example.Response, error) {
	for {
		response, err := d.deployment.Call(ctx, url, body, header)
		if err != nil || response.Header.Get("Retry-After") == "" {
			return response, err
		}
		d.retries++
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return response, eris.Wrapf(ctx.Err(), "last response: %d %s", response.Status, response.Body)
		}
	}
}

// reserve fails unless the second host replays the response of the first: a second
// execution would return another reservation number.
func (d *demo) reserve(ctx context.Context) error {
	header := example.Header(d.key)
	header.Set("Idempotency-Key", idempotencyKey)
	var responses []example.Response
	for _, h := range d.deployment.Hosts[:2] {
		response, err := d.call(ctx, h.Callers+"/v1/reservations", `{"lot":7}`, header)
		if err != nil {
			return err
		}
		if response.Status != http.StatusOK && response.Status != http.StatusCreated {
			return eris.Errorf("host %s responded with %d %s", h.ID, response.Status, response.Body)
		}
		fmt.Printf("        %s: %s\n", h.ID, strings.TrimSpace(response.Body))
		responses = append(responses, response)
	}
	if responses[0].Body != responses[1].Body {
		return eris.New("the responses differ: the reservation was executed twice")
	}
	return nil
}

func (d *demo) queryPlacement(ctx context.Context) error {
	for _, query := range []string{"show hosts", "show where org " + organisation + " runs", "show shops of org " + organisation} {
		if err := d.runStatement(ctx, d.deployment.Hosts[2], query); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) explain(ctx context.Context) error {
	return d.runStatement(ctx, d.lastHost, "explain request "+d.lastRequestID)
}

// runStatement runs a redwingctl statement on a host and prints its output.
func (d *demo) runStatement(ctx context.Context, h *example.Host, statement string) error {
	out, err := h.ControlUntilAccepted(ctx, "run", statement)
	if err != nil {
		return err
	}
	fmt.Printf("        redwingctl run '%s'   (host %s)\n", statement, h.ID)
	for line := range strings.Lines(out) {
		fmt.Print("          ", line)
	}
	return nil
}

func (d *demo) stop(context.Context) error { return d.deployment.StopHosts(stopTimeout) }

func (d *demo) close() {
	if d.deployment != nil {
		d.deployment.Close()
	}
}

func (d *demo) printSummary() {
	fmt.Printf("\n%d hosts served %d non-streaming and %d streaming responses; 1 reservation, sent twice, was executed once; %d requests were retried after a temporary rejection; all hosts exited with status 0 after %.1f s\n",
		hostCount, d.nonStreaming, d.streaming, d.retries, time.Since(d.started).Seconds())
}
