package operator

import (
	"context"
	"errors"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/opslang"
)

// RunRequest is the body of a request to run a script.
type RunRequest struct {
	Script string `json:"script"`
}

// RunResponse is the result of a script.
type RunResponse struct {
	// Change is set if the script contains changes.
	Change *ChangeResult `json:"change,omitempty"`
	// Tables are the results of the script's queries in order. The queries run
	// after the script's changes and see them.
	Tables []Table `json:"tables,omitempty"`
}

// ChangeResult describes the applied changes of a script.
type ChangeResult struct {
	// Offset is the log offset of the change and the new version of every changed
	// entity.
	Offset   uint64 `json:"offset"`
	Entities int    `json:"entities"`
	// Granted lists the generated keys. Their secrets are not stored and appear
	// only in this response.
	Granted []opslang.GrantedKey `json:"granted,omitempty"`
}

// service implements the endpoints of the operator API.
type service struct {
	Dependencies
}

// run applies the changes of a script atomically and then runs its queries.
func (s *service) run(ctx context.Context, request RunRequest) (*RunResponse, error) {
	script, err := opslang.Parse(request.Script)
	if err != nil {
		return nil, err
	}
	response := &RunResponse{}
	if len(script.Changes()) > 0 {
		if response.Change, err = s.change(ctx, script); err != nil {
			return nil, err
		}
	}
	for _, query := range script.Queries() {
		response.Tables = append(response.Tables, s.runQuery(query))
	}
	return response, nil
}

func (s *service) change(ctx context.Context, script *opslang.Script) (*ChangeResult, error) {
	plan, err := opslang.Plan(s.Views.View(), script, NewKey)
	if err != nil {
		return nil, err
	}
	if len(plan.Mismatches) > 0 {
		return nil, s.versionConflict(&plan.Mismatches[0])
	}
	result, err := s.Config.ApplyConfig(ctx, operatorFromContext(ctx), plan.Changes)
	if err != nil {
		return nil, s.withWinner(err)
	}
	return &ChangeResult{
		Offset:   uint64(result.Offset),
		Entities: len(plan.Changes),
		Granted:  plan.Granted,
	}, nil
}

// withWinner adds the change in force to a conflict that lacks it.
func (s *service) withWinner(err error) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Winner == nil {
		conflict.Winner = s.latestChange(conflict.Entity, conflict.ID)
	}
	return err
}

// latestChange returns the latest recorded change of an entity, or nil.
func (s *service) latestChange(kind logrec.EntityKind, id string) *HistoryEntry {
	history := s.History.History(kind, id)
	if len(history) == 0 {
		return nil
	}
	return &history[len(history)-1]
}

// versionConflict returns the error for a change whose "if version" clause does not
// give the version in force. Such a change is rejected before it is written to the
// log, since every host would have to reject the record.
func (s *service) versionConflict(m *opslang.Mismatch) error {
	return &ConflictError{
		Entity:  m.Entity,
		ID:      m.ID,
		Expect:  m.Expect,
		Current: m.Current,
		Winner:  s.latestChange(m.Entity, m.ID),
	}
}
