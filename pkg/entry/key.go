package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Request headers of callers.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	headerShop          = "X-Shop"
)

const bearerPrefix = "bearer "

// keyParameterNames are the query parameters that clients use for keys. A key
// in a query would appear in the logs of every proxy on the way.
var keyParameterNames = map[string]bool{
	"key": true, "apikey": true, "api_key": true, "api-key": true, "x-api-key": true,
	"access_token": true, "token": true, "authorization": true, "bearer": true,
}

// maxQueryValues bounds the query values that are compared with known keys. A
// query with more of them is rejected.
const maxQueryValues = 64

// queryHasKeyParameter reports whether the query has a parameter with a name
// that clients use for keys, or cannot be parsed.
func queryHasKeyParameter(r *http.Request) bool {
	if r.URL.RawQuery == "" {
		return false
	}
	values, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return true
	}
	for name := range values {
		if keyParameterNames[strings.ToLower(name)] {
			return true
		}
	}
	return false
}

// queryHasKnownKey reports whether any value of the query is a known API key,
// whatever its parameter name. Too many values to compare count as one.
func queryHasKnownKey(r *http.Request, view state.View) bool {
	if r.URL.RawQuery == "" {
		return false
	}
	count := 0
	for _, values := range r.URL.Query() {
		for _, value := range values {
			count++
			if count > maxQueryValues {
				return true
			}
			if _, known := view.KeyByDigest(digestOf(value)); known {
				return true
			}
		}
	}
	return false
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// presentedKey returns the API key of the request. Two different keys are
// rejected, since it is unclear which organisation to charge.
func presentedKey(header http.Header) (string, error) {
	authorization := header.Values(headerAuthorization)
	apiKeys := header.Values(headerAPIKey)
	if len(authorization)+len(apiKeys) == 0 {
		return "", newRejection(http.StatusUnauthorized, model.CodeMissingKey, "this route needs a key")
	}
	var keys []string
	for _, value := range authorization {
		if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			return "", newRejection(http.StatusUnauthorized, model.CodeInvalidKey, "Authorization is not of the form Bearer <key>")
		}
		keys = append(keys, strings.TrimSpace(value[len(bearerPrefix):]))
	}
	keys = append(keys, apiKeys...)
	for _, key := range keys[1:] {
		if subtle.ConstantTimeCompare([]byte(key), []byte(keys[0])) != 1 {
			return "", newRejection(http.StatusUnauthorized, model.CodeInvalidKey, "more than one key was given")
		}
	}
	if keys[0] == "" {
		return "", newRejection(http.StatusUnauthorized, model.CodeMissingKey, "this route needs a key")
	}
	return keys[0], nil
}

// lookUpKey finds the key with a digest and checks that it is not revoked.
func lookUpKey(view state.View, digest string) (model.Key, error) {
	key, ok := view.KeyByDigest(digest)
	if !ok || subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return model.Key{}, newRejection(http.StatusUnauthorized, model.CodeInvalidKey, "the key is not known")
	}
	if key.Revoked {
		return model.Key{}, newRejection(http.StatusUnauthorized, model.CodeRevokedKey, "the key was revoked")
	}
	return key, nil
}

// requireFresh rejects requests on routes that require a key while the view is
// stale.
func (h *Handler) requireFresh(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if err := h.checkFresh(request.(*call)); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func (h *Handler) checkFresh(c *call) error {
	if c.route.Public || h.deps.Fresh() {
		return nil
	}
	return newRejectionWithRetry(http.StatusServiceUnavailable, model.CodeStaleView,
		"this host cannot confirm that keys are still valid", h.settings.RetryAfter)
}

// checkKey checks the API key and sets the key ID and organisation of the call.
// Public routes need no key. It removes the key headers, so that no later step
// forwards, logs or dumps them, and rejects keys in the query or used as
// idempotency key, which would be forwarded.
func (h *Handler) checkKey(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		c := request.(*call)
		view := h.deps.View()
		if queryHasKnownKey(c.r, view) {
			return nil, newRejection(http.StatusBadRequest, model.CodeBadRequest, "keys are not accepted in the query")
		}
		presented, err := presentedKey(c.r.Header)
		c.r.Header.Del(headerAuthorization)
		c.r.Header.Del(headerAPIKey)
		if c.route.Public {
			c.publishIdentity()
			return next(ctx, request)
		}
		if err != nil {
			return nil, err
		}
		digest := digestOf(presented)
		if c.r.Header.Get(headerIdempotencyKey) == presented {
			return nil, newRejection(http.StatusBadRequest, model.CodeBadRequest, "the key must not be used as idempotency key")
		}
		key, err := lookUpKey(view, digest)
		if err != nil {
			return nil, err
		}
		if _, _, ok := view.Organisation(key.Organisation); !ok {
			return nil, newRejection(http.StatusUnauthorized, model.CodeInvalidKey, "the key's organisation does not exist")
		}
		c.key, c.org, c.keyDigest = key.ID, key.Organisation, digest
		c.publishIdentity()
		return next(ctx, request)
	}
}

// recheckKey repeats the checks whose result may have changed while the body
// was read or a record was logged. It runs last before the request is sent.
func (h *Handler) recheckKey(c *call) error {
	if c.route.Public {
		return nil
	}
	if err := h.checkFresh(c); err != nil {
		return err
	}
	_, err := lookUpKey(h.deps.View(), c.keyDigest)
	return err
}
