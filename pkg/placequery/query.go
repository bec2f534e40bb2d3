// Package placequery describes the question where a host would send a request now, and the
// answer. The metrics port of a host answers it, redwingctl asks it.
package placequery

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Path is the path of the query on the metrics port.
const Path = "/place"

// Names of the fields of a query, which are the names of its URL parameters.
const (
	FieldHost         = "host"
	FieldPath         = "path"
	FieldService      = "service"
	FieldPromptTokens = "prompt_tokens"
	FieldOutputTokens = "output_tokens"
	FieldParts        = "parts"
	FieldDeadline     = "deadline_ms"
	FieldExclude      = "exclude"
)

// fields are the names that a query may have.
var fields = []string{FieldHost, FieldPath, FieldService, FieldPromptTokens, FieldOutputTokens, FieldParts, FieldDeadline, FieldExclude}

// Limits of a query.
const (
	maxTokens   = 10_000_000
	maxParts    = 1000
	maxExclude  = 100
	maxDeadline = 24 * time.Hour
)

// Query describes a request whose placement is asked for.
type Query struct {
	// Host and Path are those of the request. They determine its route.
	Host, Path string
	// Service is one of the route's services, empty if it has only one.
	Service model.PoolName
	// PromptTokens and OutputTokens are the request's token counts. Default: 0.
	PromptTokens, OutputTokens int
	// Parts are the parts of the prompt, in order.
	Parts []placement.Part
	// Deadline is how long the caller waits, 0 for the limit of the route.
	Deadline time.Duration
	// Exclude lists servers that have already failed the request.
	Exclude []model.BackendID
}

// FieldError is a field of a query that cannot be used.
type FieldError struct {
	// Field is empty if the error concerns no single field.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return e.Field + ": " + e.Message
}

// Failure is the body of a response to a query that cannot be answered.
type Failure struct {
	Error FieldError `json:"error"`
}

// ParseRaw reads a query from the encoded parameters of a URL. The error is a *FieldError.
func ParseRaw(raw string) (Query, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return Query{}, &FieldError{Message: "the parameters cannot be decoded: " + err.Error()}
	}
	return Parse(values)
}

// Parse reads a query from URL parameters. The error is a *FieldError.
func Parse(values url.Values) (Query, error) {
	for name, given := range values {
		if !known(name) {
			return Query{}, &FieldError{name, "there is no such field; the fields are " + strings.Join(fields, ", ")}
		}
		if len(given) > 1 {
			return Query{}, &FieldError{name, "is given more than once"}
		}
	}
	q := Query{Host: values.Get(FieldHost), Path: values.Get(FieldPath), Service: model.PoolName(values.Get(FieldService))}
	if q.Host == "" {
		return q, &FieldError{FieldHost, "is missing"}
	}
	if !strings.HasPrefix(q.Path, "/") {
		return q, &FieldError{FieldPath, "does not begin with a slash"}
	}
	var err error
	if q.PromptTokens, err = parseCount(values, FieldPromptTokens, maxTokens); err != nil {
		return q, err
	}
	if q.OutputTokens, err = parseCount(values, FieldOutputTokens, maxTokens); err != nil {
		return q, err
	}
	ms, err := parseCount(values, FieldDeadline, int(maxDeadline.Milliseconds()))
	if err != nil {
		return q, err
	}
	q.Deadline = time.Duration(ms) * time.Millisecond
	if q.Parts, err = parseParts(values.Get(FieldParts)); err != nil {
		return q, err
	}
	for _, id := range split(values.Get(FieldExclude)) {
		q.Exclude = append(q.Exclude, model.BackendID(id))
	}
	if len(q.Exclude) > maxExclude {
		return q, &FieldError{FieldExclude, "has more than " + strconv.Itoa(maxExclude) + " servers"}
	}
	return q, nil
}

func known(name string) bool {
	for _, field := range fields {
		if name == field {
			return true
		}
	}
	return false
}

// parseCount reads a whole number, 0 if the field is absent.
func parseCount(values url.Values, field string, largest int) (int, error) {
	v := values.Get(field)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > largest {
		return 0, &FieldError{field, strconv.Quote(v) + " is not a whole number from 0 to " + strconv.Itoa(largest)}
	}
	return n, nil
}

// parseParts reads a comma-separated list of ID:TOKENS with hexadecimal IDs.
func parseParts(text string) ([]placement.Part, error) {
	var parts []placement.Part
	for _, entry := range split(text) {
		id, count, _ := strings.Cut(entry, ":")
		n, err := strconv.ParseUint(id, 16, 64)
		tokens, countErr := strconv.Atoi(count)
		if err != nil || countErr != nil || tokens < 0 || tokens > maxTokens {
			return nil, &FieldError{FieldParts, strconv.Quote(entry) + " is not ID:TOKENS with a hexadecimal ID of 64 bits and a whole number from 0 to " + strconv.Itoa(maxTokens)}
		}
		parts = append(parts, placement.Part{ID: n, Tokens: tokens})
	}
	if len(parts) > maxParts {
		return nil, &FieldError{FieldParts, "has more than " + strconv.Itoa(maxParts) + " parts"}
	}
	return parts, nil
}

// split returns the entries of a comma-separated list, none for an empty text.
func split(text string) []string {
	if text == "" {
		return nil
	}
	entries := strings.Split(text, ",")
	for i := range entries {
		entries[i] = strings.TrimSpace(entries[i])
	}
	return entries
}
