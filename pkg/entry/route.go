package entry

import (
	"net/http"
	"path"
	"strings"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// findRoute matches the path with the routes. It rejects paths that a backend
// server could interpret in another way, so that a public prefix gives access
// to nothing else.
func (h *Handler) findRoute(c *call) error {
	if !isCanonicalPath(c.r) {
		return newRejection(http.StatusBadRequest, model.CodeBadRequest, "the path has empty, dot or encoded segments")
	}
	if queryHasKeyParameter(c.r) {
		return newRejection(http.StatusBadRequest, model.CodeBadRequest, "keys are not accepted in the query")
	}
	route, ok := h.deps.View().MatchRoute(c.r.URL.Path)
	if !ok {
		return newRejection(http.StatusNotFound, model.CodeUnknownRoute, "no route for this path")
	}
	c.route = route
	return nil
}

func isCanonicalPath(r *http.Request) bool {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "\\;\x00") {
		return false
	}
	clean := path.Clean(p)
	if p != clean && (p != clean+"/" || clean == "/") {
		return false
	}
	// Decoding an encoded slash or dot later would change the segments.
	raw := strings.ToLower(r.URL.EscapedPath())
	return !strings.Contains(raw, "%2f") && !strings.Contains(raw, "%2e") && !strings.Contains(raw, "%25")
}
