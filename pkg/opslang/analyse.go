package opslang

import (
	"slices"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// verbNouns lists the nouns that each verb except show accepts.
var verbNouns = map[Verb][]Noun{
	Create:  {NounOrganisation, NounShop, NounOffer, NounRoute, NounPool},
	Modify:  {NounOrganisation, NounShop, NounOffer, NounRoute, NounPool},
	Delete:  {NounOrganisation, NounKey, NounShop, NounOffer, NounRoute, NounPool},
	Grant:   {NounKey},
	Revoke:  {NounKey},
	Drain:   {NounBackend},
	Undrain: {NounBackend},
	Explain: {NounRequest, NounBackend, NounOrder},
	History: {NounOrganisation, NounKey, NounShop, NounOffer, NounRoute, NounPool, NounBackend},
}

// showFilters lists the nouns by which each noun of show can be filtered.
var showFilters = map[Noun][]Noun{
	NounOrganisations: {},
	NounKeys:          {NounOrganisation},
	NounShops:         {NounOrganisation},
	NounOffers:        {NounOrganisation, NounShop, NounModel},
	NounRoutes:        {NounPool},
	NounPools:         {},
	NounDrains:        {},
	NounBackends:      {NounModel, NounPool, NounDataCentre},
	NounHosts:         {NounDataCentre},
	NounShards:        {},
	NounOrders:        {NounBackend},
	NounStatus:        {},
}

var showNouns = []Noun{
	NounOrganisations, NounKeys, NounShops, NounOffers, NounRoutes, NounPools, NounDrains,
	NounBackends, NounHosts, NounShards, NounOrders, NounStatus,
}

// analyse validates the nouns, attributes and values of a statement that the
// grammar accepts.
func analyse(node *statementNode, findings *Findings) Statement {
	switch {
	case node.Change != nil:
		return Statement{Position: toPosition(node.Change.Pos), Change: analyseChange(node.Change, findings)}
	case node.Show != nil:
		return Statement{Position: toPosition(node.Show.Pos), Query: analyseShow(node.Show, findings)}
	default:
		return Statement{Position: toPosition(node.Inspect.Pos), Query: analyseInspect(node.Inspect, findings)}
	}
}

func analyseChange(node *changeNode, findings *Findings) *Change {
	change := &Change{
		Position: toPosition(node.Pos),
		Verb:     Verb(node.Verb),
		ID:       node.Name.Text,
	}
	if _, err := parseName(node.Name.Text); err != nil {
		findings.add(node.Name.at(), expectName, "malformed name %q", node.Name.Text)
	}
	analyseCondition(change, node.Condition, findings)
	if !checkNoun(node.Noun, verbNouns[change.Verb], findings) {
		return change
	}
	entity := entities[Noun(node.Noun.Text)]
	change.Entity = entity.kind
	analyseAttributes(change, node, entity, findings)
	return change
}

func analyseCondition(change *Change, node *wordNode, findings *Findings) {
	if node == nil {
		return
	}
	version, err := parseVersion(node.Text)
	if err != nil {
		findings.add(node.at(), expectVersion, "malformed version %q", node.Text)
		return
	}
	change.Expect = &version
}

func analyseAttributes(change *Change, node *changeNode, entity *entity, findings *Findings) {
	known := entity.attributesFor(change.Verb)
	given := make(map[string]bool)
	for _, a := range node.Attributes {
		name := a.name()
		attribute, ok := known[name]
		switch {
		case !ok && len(known) == 0:
			findings.add(toPosition(a.Pos), "the end of the statement", "%s %s takes no attribute, found %q", change.Verb, node.Noun.Text, name)
		case !ok:
			findings.add(toPosition(a.Pos), "one of "+joinNames(entity.names(change.Verb)), "unknown attribute %q", name)
		case given[name]:
			findings.add(toPosition(a.Pos), "", "attribute %q is given twice", name)
		default:
			assign(change, a, attribute, findings)
		}
		given[name] = true
	}
	checkRequired(change, node, entity, given, findings)
}

// checkRequired reports missing attributes of new entities, and change statements
// without attributes.
func checkRequired(change *Change, node *changeNode, entity *entity, given map[string]bool, findings *Findings) {
	switch change.Verb {
	case Create, Grant:
		for _, a := range entity.attributes {
			if a.required && !given[a.name] {
				findings.add(node.Name.at(), a.expects, "%s %s has no %s", node.Noun.Text, change.ID, a.name)
			}
		}
	case Modify:
		if len(given) == 0 {
			findings.add(node.Name.at(), "one of "+joinNames(entity.names(change.Verb)), "no attribute to change")
		}
	}
}

func assign(change *Change, node *attributeNode, attribute *attribute, findings *Findings) {
	assignment := Assignment{Position: toPosition(node.Pos), Name: attribute.name}
	if node.Name != "" {
		hours := analyseHours(node.Hours, findings)
		assignment.apply = func(target any) { target.(*model.Shop).Hours = hours }
	} else {
		apply, err := attribute.parse(node.Value.Text)
		if err != nil {
			findings.add(node.Value.at(), attribute.expects, "malformed %s %q", attribute.name, node.Value.Text)
			return
		}
		assignment.apply = apply
	}
	change.Assignments = append(change.Assignments, assignment)
}

func analyseHours(nodes []*hoursNode, findings *Findings) []model.Hours {
	var hours []model.Hours
	for _, node := range nodes {
		if node.Always {
			if len(nodes) > 1 {
				findings.add(toPosition(node.Pos), "no other hours", "always is given with other hours")
			}
			continue
		}
		days, err := parseDays(node.Days.Text)
		if err != nil {
			findings.add(node.Days.at(), expectDays, "malformed days %q", node.Days.Text)
		}
		opens, closes, err := parseTimes(node.Times.Text)
		if err != nil {
			findings.add(node.Times.at(), expectTimes, "malformed opening times %q", node.Times.Text)
		}
		for _, day := range days {
			hours = append(hours, model.Hours{Day: day, OpenMinute: opens, CloseMinute: closes})
		}
	}
	return hours
}

func analyseShow(node *showNode, findings *Findings) *Query {
	query := &Query{Position: toPosition(node.Pos), Verb: Show}
	if node.Where != nil {
		checkNoun(node.Where.Noun, []Noun{NounOrganisation}, findings)
		query.Noun = NounWhere
		query.Name = node.Where.Name.Text
		return query
	}
	query.Noun = Noun(node.Noun.Text)
	if !checkNoun(node.Noun, showNouns, findings) {
		return query
	}
	for _, filter := range node.Filters {
		query.Filters = append(query.Filters, analyseFilter(filter, query.Noun, findings))
	}
	return query
}

func analyseFilter(node *filterNode, noun Noun, findings *Findings) Filter {
	filter := Filter{Position: toPosition(node.Pos)}
	if node.In != nil {
		filter.Noun, filter.Name = NounDataCentre, node.In.Text
	} else {
		filter.Noun, filter.Name = Noun(node.Noun.Text), node.Name.Text
	}
	if allowed := showFilters[noun]; !slices.Contains(allowed, filter.Noun) {
		findings.add(filter.Position, expectFilters(allowed), "%s cannot be filtered by %s", noun, filter.Noun)
	}
	return filter
}

func expectFilters(allowed []Noun) string {
	if len(allowed) == 0 {
		return "the end of the statement"
	}
	forms := make([]string, len(allowed))
	for i, noun := range allowed {
		forms[i] = "of " + string(noun) + " NAME"
		if noun == NounDataCentre {
			forms[i] = "in DATA-CENTRE"
		}
	}
	return joinNames(forms)
}

func analyseInspect(node *inspectNode, findings *Findings) *Query {
	query := &Query{
		Position: toPosition(node.Pos),
		Verb:     Verb(node.Verb),
		Noun:     Noun(node.Noun.Text),
		Name:     node.Name.Text,
	}
	checkNoun(node.Noun, verbNouns[query.Verb], findings)
	return query
}

func checkNoun(node *wordNode, allowed []Noun, findings *Findings) bool {
	if slices.Contains(allowed, Noun(node.Text)) {
		return true
	}
	findings.add(node.at(), "one of "+joinNames(allowed), "unexpected noun %q", node.Text)
	return false
}

// EntityOf returns the kind of entity that a noun names. It reports false if the
// noun names no configuration entity.
func EntityOf(noun Noun) (logrec.EntityKind, bool) {
	entity, ok := entities[noun]
	if !ok {
		return "", false
	}
	return entity.kind, true
}
