package opslang

import (
	"encoding/json"
	"fmt"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// GrantedKey is a key that was generated for a grant without a digest. The secret
// is returned once and not stored.
type GrantedKey struct {
	ID           model.KeyID          `json:"id"`
	Organisation model.OrganisationID `json:"organisation"`
	Secret       string               `json:"secret"`
}

// Mismatch describes a change whose "if version" differs from the version in
// force.
type Mismatch struct {
	Position
	Entity  logrec.EntityKind
	ID      string
	Expect  model.Offset
	Current model.Offset
}

// Result contains the changes for a log record and the keys that were generated for
// a script.
type Result struct {
	Changes []logrec.Change
	Granted []GrantedKey
	// Mismatches lists the changes whose "if version" is not the version in force.
	// If there is one, the whole script conflicts.
	Mismatches []Mismatch
}

// NewKey generates a key and its digest.
type NewKey func() (secret, digest string, err error)

// Plan turns the changes of a script into the changes of one log record, based on a
// snapshot. Each change expects the entity's version in the snapshot, so that it never
// overwrites a change that the snapshot lacks. An "if version" that differs from this
// version is listed in Result.Mismatches. An error is of type Findings, or comes from
// newKey or from encoding an entity.
func Plan(view state.View, script *Script, newKey NewKey) (*Result, error) {
	p := &planner{
		view:    view,
		newKey:  newKey,
		planned: make(map[entityKey]*planned),
		digests: make(map[string]model.KeyID),
	}
	for _, change := range script.Changes() {
		if err := p.plan(change); err != nil {
			return nil, err
		}
	}
	p.checkReferences()
	if err := p.findings.err(); err != nil {
		return nil, err
	}
	return &p.result, p.encode()
}

type entityKey struct {
	kind logrec.EntityKind
	id   string
}

// planned is the state of an entity after the script.
type planned struct {
	change  *Change
	expect  model.Offset
	value   any
	deleted bool
}

type planner struct {
	view     state.View
	newKey   NewKey
	order    []*planned
	planned  map[entityKey]*planned
	digests  map[string]model.KeyID
	findings Findings
	result   Result
}

func (p *planner) plan(change *Change) error {
	key := entityKey{change.Entity, change.ID}
	if first, ok := p.planned[key]; ok {
		p.findings.add(change.Position, "one statement for each entity",
			"%s %s is already changed in line %d", nounOf(change.Entity), change.ID, first.change.Line)
		return nil
	}
	entity := entityByKind(change.Entity)
	value, version, exists := entity.load(p.view, change.ID)
	if !p.checkExistence(change, entity, exists, version) {
		return nil
	}
	if !exists {
		value = entity.create(change.ID)
	}
	item := &planned{change: change, expect: version, value: value}
	p.checkVersion(item, version)
	p.planned[key] = item
	p.order = append(p.order, item)
	return p.apply(item)
}

// apply applies the statement to the planned value.
func (p *planner) apply(item *planned) error {
	for _, assignment := range item.change.Assignments {
		assignment.apply(item.value)
	}
	switch item.change.Verb {
	case Delete, Undrain:
		item.deleted = true
	case Revoke:
		item.value.(*model.Key).Revoked = true
	case Grant:
		return p.generateKey(item.value.(*model.Key))
	}
	return nil
}

func (p *planner) generateKey(key *model.Key) error {
	if key.Digest != "" {
		return nil
	}
	secret, digest, err := p.newKey()
	if err != nil {
		return err
	}
	key.Digest = digest
	p.result.Granted = append(p.result.Granted, GrantedKey{
		ID: key.ID, Organisation: key.Organisation, Secret: secret,
	})
	return nil
}

func (p *planner) checkExistence(change *Change, entity *entity, exists bool, version model.Offset) bool {
	switch change.Verb {
	case Create, Grant:
		if exists {
			p.findings.add(change.Position, fmt.Sprintf("a new name or %s", Modify),
				"%s %s exists already with version %d", entity.noun, change.ID, version)
			return false
		}
	case Modify, Delete, Revoke:
		if !exists {
			p.findings.add(change.Position, "an existing name", "there is no %s %s", entity.noun, change.ID)
			return false
		}
	case Undrain:
		if !exists {
			p.findings.add(change.Position, "a drained backend server", "%s %s is not drained", entity.noun, change.ID)
			return false
		}
	}
	return true
}

func (p *planner) checkVersion(item *planned, version model.Offset) {
	if item.change.Expect == nil || *item.change.Expect == version {
		return
	}
	p.result.Mismatches = append(p.result.Mismatches, Mismatch{
		Position: item.change.Position,
		Entity:   item.change.Entity,
		ID:       item.change.ID,
		Expect:   *item.change.Expect,
		Current:  version,
	})
}

func (p *planner) encode() error {
	for _, item := range p.order {
		change := logrec.Change{
			Entity: item.change.Entity,
			ID:     item.change.ID,
			Expect: item.expect,
			Delete: item.deleted,
		}
		if !item.deleted {
			value, err := json.Marshal(item.value)
			if err != nil {
				return err
			}
			change.Value = value
		}
		p.result.Changes = append(p.result.Changes, change)
	}
	return nil
}

// find returns an entity in its state after the script, and whether it exists
// then.
func (p *planner) find(kind logrec.EntityKind, id string) (any, bool) {
	if item, ok := p.planned[entityKey{kind, id}]; ok {
		return item.value, !item.deleted
	}
	value, _, ok := entityByKind(kind).load(p.view, id)
	return value, ok
}
