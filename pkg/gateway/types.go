// Package gateway forwards opaque requests from callers to backend servers. It
// enforces routes, keys, quotas, deadlines and retry rules, but does not know the
// header names of a deployment: a Dialect translates them.
package gateway

import (
	"net/http"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// RequestMetadata is the metadata in the header of a caller's request.
type RequestMetadata struct {
	// ID identifies this attempt by the caller.
	ID string
	// Key is the caller's API key.
	Key string
	// Deadline is how long the caller waits for the response, 0 if not stated.
	Deadline time.Duration
	// HasTokenCounts reports whether the header states token counts.
	HasTokenCounts             bool
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt, in order.
	Parts []placement.Part
	// ResumeAfter is the id of the last event that the caller has, empty if none.
	ResumeAfter string
}

// OutgoingMetadata is the metadata that a request to a backend server carries in
// addition to the caller's header.
type OutgoingMetadata struct {
	Instance     model.BackendID
	Organisation model.OrganisationID
	// Deadline is how long the caller still waits for the response.
	Deadline time.Duration
	// Urgency orders requests at an engine: 0 is served first, a negative value is
	// not sent.
	Urgency int
	// ResumeAfter replaces the caller's value, if set.
	ResumeAfter string
	// PrefillOnly asks for the prefill without decoding.
	PrefillOnly bool
	// CacheAddress and CacheHandle identify the KV cache of a prompt that another
	// engine has prefilled.
	CacheAddress, CacheHandle string
	// FetchFrom is the address of an engine whose cache holds parts of the prompt.
	FetchFrom string
}

// ResponseMetadata is the metadata in the header of a backend server's response.
type ResponseMetadata struct {
	// ID is the id of the request that the response belongs to, empty if not stated.
	ID string
	// NotRun is set if the response states that the request has not run.
	NotRun bool
	// Misdirected is set if another server has taken over the address.
	Misdirected bool
	// Sealed is set if the response carries the backend server's signature.
	Sealed bool
	// Leaving is set if the backend server states that it is leaving.
	Leaving bool
	// Pause is the time for which the backend server wants no requests from this host, 0 if
	// it has not asked for that.
	Pause time.Duration
	// HasLimit is set if the backend server states a limit of its requests. Limit is the
	// number in a second that it takes from all hosts together, NaN if it cannot be read.
	HasLimit bool
	Limit    float64
}

// Dialect translates headers between a deployment and the gateway.
type Dialect interface {
	// RequestMetadata parses a caller's header. finding describes what could not be
	// parsed; it is empty if everything could.
	RequestMetadata(h http.Header) (metadata RequestMetadata, finding string)
	// Request builds the header of a request to a backend server.
	Request(caller http.Header, o OutgoingMetadata) http.Header
	// ResponseMetadata parses the status and header of a backend server's response.
	ResponseMetadata(status int, h http.Header) ResponseMetadata
	// ResponseHeader builds the header of the response to the caller from that of the
	// backend server's response.
	ResponseHeader(h http.Header) http.Header
	// PrefillHandle returns the cache handle in the body of a prefill response.
	PrefillHandle(body []byte) (handle string, err error)
	// ReleaseCall returns the method and path of the call that frees the KV cache of a
	// prefill.
	ReleaseCall(handle string) (method, path string)
}

// Limiter admits requests within the quotas of organisations.
type Limiter interface {
	// Admit charges the cost to the quota. If the quota does not allow that, wait is
	// the time after which the caller should try again.
	Admit(org model.OrganisationID, cost float64, now time.Time) (ok bool, wait time.Duration)
	// Refund refunds the cost of a request that has not run.
	Refund(org model.OrganisationID, cost float64)
}

// Usage counts the requests that backend servers have started to run.
type Usage interface {
	CountRequest(org model.OrganisationID)
}
