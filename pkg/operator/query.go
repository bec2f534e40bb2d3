package operator

import (
	"fmt"
	"strconv"
	"time"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/opslang"
)

// Table is the result of a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func newTable(columns ...string) Table {
	return Table{Columns: columns, Rows: [][]string{}}
}

// add appends a row; cells has one value for each column.
func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = formatCell(cell)
	}
	t.Rows = append(t.Rows, row)
}

func formatCell(cell any) string {
	switch value := cell.(type) {
	case bool:
		if value {
			return "yes"
		}
		return "no"
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	case time.Time:
		return value.UTC().Format(time.RFC3339Nano)
	default:
		return fmt.Sprint(value)
	}
}

// runQuery runs a query that opslang.Parse has validated.
func (s *service) runQuery(q *opslang.Query) Table {
	switch q.Verb {
	case opslang.Explain:
		return s.explainTable(q)
	case opslang.History:
		return s.historyTable(q)
	}
	view := s.Views.View()
	switch q.Noun {
	case opslang.NounOrganisations:
		return organisationTable(view)
	case opslang.NounKeys:
		return keyTable(view, q)
	case opslang.NounShops:
		return shopTable(view, q)
	case opslang.NounOffers:
		return offerTable(view, q)
	case opslang.NounRoutes:
		return routeTable(view, q)
	case opslang.NounPools:
		return poolTable(view)
	case opslang.NounDrains:
		return drainTable(view)
	case opslang.NounBackends:
		return s.backendTable(q)
	case opslang.NounHosts:
		return hostTable(view, q)
	case opslang.NounShards:
		return shardTable(view)
	case opslang.NounOrders:
		return orderTable(view, q)
	case opslang.NounWhere:
		return s.whereTable(view, q)
	default:
		return s.statusTable(view)
	}
}

// matches reports whether a row with this value for a noun passes the query's
// filters.
func matches[T ~string](q *opslang.Query, noun opslang.Noun, value T) bool {
	for _, f := range q.Filters {
		if f.Noun == noun && f.Name != string(value) {
			return false
		}
	}
	return true
}

func (s *service) historyTable(q *opslang.Query) Table {
	table := newTable("version", "time", "operator", "value")
	kind, _ := opslang.EntityOf(q.Noun)
	for _, e := range s.History.History(kind, q.Name) {
		value := string(e.Value)
		if e.Delete {
			value = "deleted"
		}
		table.add(e.Version, e.Time, e.Operator, value)
	}
	return table
}

// explainTable lists the journal entries about a subject. For a backend server or
// an order it adds the current state.
func (s *service) explainTable(q *opslang.Query) Table {
	table := newTable("time", "decision", "reason")
	for _, e := range s.Journal.Recent(q.Name) {
		if matchesJournalKind(q.Noun, e.Kind) {
			table.add(e.Time, e.Decision, e.Reason)
		}
	}
	now := time.Now()
	switch q.Noun {
	case opslang.NounBackend:
		s.explainBackend(&table, q.Name, now)
	case opslang.NounOrder:
		s.explainOrder(&table, q.Name, now)
	}
	return table
}

// matchesJournalKind reports whether explain shows entries of this kind for a noun.
func matchesJournalKind(noun opslang.Noun, kind journal.Kind) bool {
	switch noun {
	case opslang.NounRequest:
		return kind == journal.KindRequest
	case opslang.NounOrder:
		return kind == journal.KindOrder
	default:
		return kind == journal.KindBackend || kind == journal.KindOrder
	}
}
