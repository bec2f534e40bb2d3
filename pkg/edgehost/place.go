package edgehost

import (
	"encoding/json"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/placequery"
)

// servePlace answers where a request would go now, for operators.
func (h *Host) servePlace(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		h.writePlace(w, http.StatusMethodNotAllowed, placequery.Failure{Error: placequery.FieldError{Message: "the method is not GET"}})
		return
	}
	query, err := placequery.ParseRaw(r.URL.RawQuery)
	var answer placequery.Answer
	if err == nil {
		answer, err = h.gateway.Explain(query)
	}
	var field *placequery.FieldError
	switch {
	case err == nil:
		h.writePlace(w, http.StatusOK, answer)
	case errors.As(err, &field):
		h.writePlace(w, http.StatusBadRequest, placequery.Failure{Error: *field})
	default:
		h.writePlace(w, http.StatusServiceUnavailable, placequery.Failure{Error: placequery.FieldError{Message: err.Error()}})
	}
}

func (h *Host) writePlace(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.log.Debug("the answer to a placement query could not be written", zap.Error(err))
	}
}
