// Package operator implements the HTTP API for operators and its client, which
// redwingctl uses. The API runs scripts in the language of package opslang, dumps
// the state of the process, explains decisions and reports health and metrics.
package operator

import (
	"context"
	"expvar"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Viewer provides the latest snapshot of the tables.
type Viewer interface {
	View() state.View
}

// Configurer writes configuration changes.
type Configurer interface {
	// ApplyConfig applies all changes or none and returns once they are in
	// force on this host. Errors are a *ConflictError, ErrNotAccepted,
	// platform.ErrRateLimited, or one that wraps platform.ErrUnavailable when
	// the change may still come into force.
	ApplyConfig(ctx context.Context, operator string, changes []logrec.Change) (ApplyResult, error)
}

// ApplyResult contains the log offset of an applied change.
type ApplyResult struct {
	Offset model.Offset `json:"offset"`
}

// BackendLister lists the backend servers known to this host.
type BackendLister interface {
	Backends() []routing.Backend
}

// HistoryReader returns the recent changes of an entity, oldest first.
type HistoryReader interface {
	History(kind logrec.EntityKind, id string) []HistoryEntry
}

// Health reports whether this host is ready to receive requests, and if not, why.
type Health interface {
	Ready() (ready bool, reason string)
}

// Dumper returns the state of the process as a value that can be encoded as JSON.
// The value may contain the IDs and digests of keys, but no keys.
type Dumper interface {
	Dump() any
}

// Dependencies are the collaborators of the operator API. All except
// PrometheusHandler are required.
type Dependencies struct {
	Host     model.HostID
	Views    Viewer
	Config   Configurer
	Backends BackendLister
	History  HistoryReader
	Health   Health
	Dumper   Dumper
	Journal  *journal.Journal
	Metrics  expvar.Var
	// PrometheusHandler serves the metrics in the Prometheus text format. If it is nil,
	// PathPrometheus is not served.
	PrometheusHandler http.Handler
	Operators         []settings.Operator
	Logger            *zap.Logger
}

// ErrNotAccepted means that a change was not applied and never will be, because
// this host cannot reach a majority of the hosts.
var ErrNotAccepted = eris.New("not accepted: this host cannot reach a majority of the hosts")

// ConflictError means that a change was not applied because another change of
// the same entity was applied first.
type ConflictError struct {
	Entity logrec.EntityKind `json:"entity"`
	ID     string            `json:"id"`
	// Expect is the version on which the change was based, Current the version in
	// force.
	Expect  model.Offset `json:"expect"`
	Current model.Offset `json:"current"`
	// Winner is the change in force with its operator. It is nil if the history no
	// longer contains that change.
	Winner *HistoryEntry `json:"winner,omitempty"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict: %s %s has version %d, the change was made for version %d",
		e.Entity, e.ID, e.Current, e.Expect)
	if e.Winner != nil {
		text += fmt.Sprintf("; %s by operator %s is in force", e.Winner.Action(), e.Winner.Operator)
	}
	return text
}
