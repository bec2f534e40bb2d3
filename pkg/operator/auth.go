package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/settings"
)

type tokenContextKey struct{}

type operatorContextKey struct{}

// tokenToContext stores a request's bearer token in the context.
func tokenToContext(ctx context.Context, r *http.Request) context.Context {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ctx
	}
	return context.WithValue(ctx, tokenContextKey{}, token)
}

// operatorFromContext returns the name of the authenticated operator.
func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// authenticator checks bearer tokens against the digests of the operators' tokens.
type authenticator struct {
	names   []string
	digests [][sha256.Size]byte
	logger  *zap.Logger
}

func newAuthenticator(operators []settings.Operator, logger *zap.Logger) *authenticator {
	a := &authenticator{logger: logger}
	for _, o := range operators {
		digest, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(digest) != sha256.Size {
			continue // Settings.Check rejects malformed digests; here one matches no token.
		}
		a.names = append(a.names, o.Name)
		a.digests = append(a.digests, [sha256.Size]byte(digest))
	}
	return a
}

// identify returns the operator to whom a token belongs. It compares all digests
// in constant time, so that its duration reveals nothing about them.
func (a *authenticator) identify(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range a.digests {
		if subtle.ConstantTimeCompare(digest[:], a.digests[i][:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return a.names[found], true
}

// middleware rejects requests that carry no operator's token.
func (a *authenticator) middleware(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		token, _ := ctx.Value(tokenContextKey{}).(string)
		name, ok := a.identify(token)
		if token == "" || !ok {
			a.logRefusal(ctx)
			return nil, errUnauthorized
		}
		return next(context.WithValue(ctx, operatorContextKey{}, name), request)
	}
}

// logRefusal logs a rejected call without its token.
func (a *authenticator) logRefusal(ctx context.Context) {
	remote, _ := ctx.Value(kithttp.ContextKeyRequestRemoteAddr).(string)
	path, _ := ctx.Value(kithttp.ContextKeyRequestPath).(string)
	a.logger.Warn("operator refused", zap.String("remote", remote), zap.String("path", path))
}
