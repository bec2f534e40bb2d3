// Package gateway forwards opaque requests of callers to backend servers. It
// knows routes, keys, quotas, deadlines and what may be repeated, but not the
// names that a deployment gives to headers: a Dialect translates them.
package gateway

import (
	"net/http"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Head is what the header of a caller's request says.
type Head struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the caller's API key.
	Key string
	// Deadline is how long the caller waits, 0 if it does not say.
	Deadline time.Duration
	// Sized tells whether the header states token counts.
	Sized                      bool
	PromptTokens, OutputTokens int
	// Parts is the prompt in order.
	Parts []placement.Part
	// ResumeAfter is the last event that the caller has, empty if none.
	ResumeAfter string
}

// Outgoing is what a request to a backend server states besides the caller's
// own header.
type Outgoing struct {
	Instance     model.BackendID
	Organisation model.OrganisationID
	// Deadline is how long the caller still waits.
	Deadline time.Duration
	// Urgency is the rank at an engine, 0 first; negative for none.
	Urgency int
	// ResumeAfter replaces the caller's, if set.
	ResumeAfter string
	// PrefillOnly asks for the reading of the prompt.
	PrefillOnly bool
	// CacheAddress and CacheHandle name a prompt that was read elsewhere.
	CacheAddress, CacheHandle string
	// FetchFrom is the address of an engine that keeps parts of the prompt.
	FetchFrom string
}

// Reply is what the header of a backend server's answer says.
type Reply struct {
	// ID is the request that the answer belongs to, empty if it does not say.
	ID string
	// NotRun states that the request has not run.
	NotRun bool
	// Misdirected states that another server has the address.
	Misdirected bool
	// Sealed tells that the answer bears the backend server's signature.
	Sealed bool
}

// Dialect translates headers between a deployment and the gateway.
type Dialect interface {
	// Head reads a caller's header. The finding is empty if all could be read.
	Head(h http.Header) (head Head, finding string)
	// Request builds the header of a request to a backend server.
	Request(caller http.Header, o Outgoing) http.Header
	// Reply reads the header of an answer.
	Reply(status int, h http.Header) Reply
	// Returned builds the header of the answer to the caller.
	Returned(h http.Header) http.Header
	// Handle reads the answer to a prefill.
	Handle(body []byte) (handle string, err error)
	// Release names the call that frees a prefill's memory.
	Release(handle string) (method, path string)
}

// Limiter admits requests within the quotas of organisations.
type Limiter interface {
	Admit(org model.OrganisationID, cost float64, now time.Time) (ok bool, wait time.Duration)
	Return(org model.OrganisationID, cost float64)
}

// Usage counts requests that began to run.
type Usage interface {
	Began(org model.OrganisationID)
}
