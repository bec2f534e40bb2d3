// Package operator is the interface for operators: an HTTP API that runs
// statements of the operators' language, dumps state, explains decisions and
// tells health, and the client that redwingctl uses.
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

// Viewer gives the newest snapshot of the tables.
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

// ApplyResult tells where an applied change stands in the log.
type ApplyResult struct {
	Offset model.Offset `json:"offset"`
}

// BackendLister lists the backend servers that this host knows.
type BackendLister interface {
	Backends() []routing.Backend
}

// Historian knows the recent changes of an entity, oldest first.
type Historian interface {
	History(kind logrec.EntityKind, id string) []HistoryEntry
}

// Health tells whether this host may get requests, and if not, why.
type Health interface {
	Ready() (ready bool, reason string)
}

// Dumper gives the state of the process in a form that JSON can encode. It
// holds key identifiers and digests, never keys.
type Dumper interface {
	Dump() any
}

// Dependencies are what the operator interface works on. All but Text are required.
type Dependencies struct {
	Host     model.HostID
	Views    Viewer
	Config   Configurer
	Backends BackendLister
	History  Historian
	Health   Health
	Dumper   Dumper
	Journal  *journal.Journal
	Metrics  expvar.Var
	// Text serves the metrics in the text format of Prometheus. It may be nil.
	Text      http.Handler
	Operators []settings.Operator
	Logger    *zap.Logger
}

// ErrNotAccepted means that a change has no effect and will have none, because
// this host cannot reach enough of the deployment.
var ErrNotAccepted = eris.New("not accepted: this host cannot reach a majority of the hosts")

// ConflictError means that a change has no effect because another change of
// the same entity came first.
type ConflictError struct {
	Entity logrec.EntityKind `json:"entity"`
	ID     string            `json:"id"`
	// Expect is the version that the change was made for; Current is in force.
	Expect  model.Offset `json:"expect"`
	Current model.Offset `json:"current"`
	// Winner is the change in force and its operator. It is nil when it is no
	// longer kept.
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
