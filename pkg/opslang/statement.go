package opslang

import (
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Verb is the first word of a statement.
type Verb string

// Verbs of changes and queries.
const (
	Create  Verb = "create"
	Modify  Verb = "change"
	Delete  Verb = "delete"
	Grant   Verb = "grant"
	Revoke  Verb = "revoke"
	Drain   Verb = "drain"
	Undrain Verb = "undrain"
	Show    Verb = "show"
	Explain Verb = "explain"
	History Verb = "history"
)

var verbs = []Verb{Create, Modify, Delete, Grant, Revoke, Drain, Undrain, Show, Explain, History}

// Script is a parsed script, with its statements in order.
type Script struct {
	Statements []Statement
}

// Statement is one statement. Exactly one of Change and Query is set.
type Statement struct {
	Position
	Change *Change
	Query  *Query
}

// Change creates, changes or deletes one entity.
type Change struct {
	Position
	Verb   Verb
	Entity logrec.EntityKind
	ID     string
	// Expect is the version given by "if version", or nil.
	Expect      *model.Offset
	Assignments []Assignment
}

// Assignment sets one attribute of an entity.
type Assignment struct {
	Position
	Name  string
	apply func(entity any)
}

// Query is a statement that only reads. Noun names what it reads.
type Query struct {
	Position
	Verb Verb
	Noun Noun
	// Name is the subject of explain, history and "show where".
	Name string
	// Filters restrict the rows of show.
	Filters []Filter
}

// Noun is the second word of a statement: what it changes or reads.
type Noun string

// Nouns of changes, queries and filters.
const (
	NounOrganisations Noun = "orgs"
	NounKeys          Noun = "keys"
	NounShops         Noun = "shops"
	NounOffers        Noun = "offers"
	NounRoutes        Noun = "routes"
	NounPools         Noun = "pools"
	NounDrains        Noun = "drains"
	NounBackends      Noun = "backends"
	NounHosts         Noun = "hosts"
	NounShards        Noun = "shards"
	NounOrders        Noun = "orders"
	NounStatus        Noun = "status"
	NounWhere         Noun = "where"
	NounOrganisation  Noun = "org"
	NounKey           Noun = "key"
	NounShop          Noun = "shop"
	NounOffer         Noun = "offer"
	NounRoute         Noun = "route"
	NounPool          Noun = "pool"
	NounModel         Noun = "model"
	NounRequest       Noun = "request"
	NounBackend       Noun = "backend"
	NounOrder         Noun = "order"
	NounDataCentre    Noun = "data-centre"
)

// Filter restricts the rows of a query to those that belong to a named entity.
type Filter struct {
	Position
	Noun Noun
	Name string
}

// Changes returns the changes of the script in order.
func (s *Script) Changes() []*Change {
	var changes []*Change
	for _, statement := range s.Statements {
		if statement.Change != nil {
			changes = append(changes, statement.Change)
		}
	}
	return changes
}

// Queries returns the queries of the script in order.
func (s *Script) Queries() []*Query {
	var queries []*Query
	for _, statement := range s.Statements {
		if statement.Query != nil {
			queries = append(queries, statement.Query)
		}
	}
	return queries
}
