package opslang

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxScriptBytes limits the size of a script. The largest script expected creates
// the keys and shops of a new chain.
const MaxScriptBytes = 1 << 20

// Parse parses a script. An error is of type Findings.
func Parse(source string) (*Script, error) {
	var findings Findings
	if len(source) > MaxScriptBytes {
		findings.add(Position{1, 1}, fmt.Sprintf("at most %d", MaxScriptBytes), "script has %d bytes", len(source))
		return nil, findings
	}
	script := &Script{}
	for _, tokens := range splitStatements(source, &findings) {
		if slices.ContainsFunc(tokens, isInvalid) {
			continue // splitStatements has reported the invalid token.
		}
		if node := parseStatement(tokens, &findings); node != nil {
			script.Statements = append(script.Statements, analyse(node, &findings))
		}
	}
	if err := findings.err(); err != nil {
		return nil, err
	}
	return script, nil
}

func isInvalid(token lexer.Token) bool {
	return token.Type == invalidToken
}

// parseStatement parses the tokens of one statement. It returns nil if it adds a
// finding.
func parseStatement(tokens []lexer.Token, findings *Findings) *statementNode {
	first := tokens[0]
	if !slices.Contains(verbs, Verb(first.Value)) {
		findings.add(toPosition(first.Pos), "one of "+joinNames(verbs), "unknown verb %q", first.Value)
		return nil
	}
	stream, err := lexer.Upgrade(&tokenList{tokens})
	if err != nil {
		findings.add(toPosition(first.Pos), "", "%v", err)
		return nil
	}
	if len(tokens) == 2 {
		findings.add(toPosition(tokens[1].Pos), expectNoun(Verb(first.Value)), "unexpected end of statement")
		return nil
	}
	node, err := grammar.ParseFromLexer(stream)
	if err != nil {
		addParseError(err, toPosition(first.Pos), findings)
		return nil
	}
	return node
}

// addParseError converts an error of the parser library to a finding.
func addParseError(err error, fallback Position, findings *Findings) {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		found := fmt.Sprintf("unexpected %q", unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			found = "unexpected end of statement"
		}
		findings.add(toPosition(unexpected.Position()), expectation(unexpected), "%s", found)
		return
	}
	var other participle.Error
	if errors.As(err, &other) {
		findings.add(toPosition(other.Position()), "", "%s", other.Message())
		return
	}
	findings.add(fallback, "", "%v", err)
}

// expectation extracts what was expected from the error's message, because the
// library has no accessor for it.
func expectation(err *participle.UnexpectedTokenError) string {
	_, after, found := strings.Cut(err.Message(), " (expected ")
	if !found {
		return "the end of the statement"
	}
	return describeExpected(strings.TrimSuffix(after, ")"))
}

// expectNoun describes what may follow a verb.
func expectNoun(verb Verb) string {
	if verb == Show {
		return "where or one of " + joinNames(showNouns)
	}
	return "one of " + joinNames(verbNouns[verb])
}

// describeExpected replaces the names of grammar nodes by what an operator may
// write.
func describeExpected(nodes string) string {
	switch {
	case strings.HasPrefix(nodes, "HoursNode"):
		return expectDays
	case strings.HasPrefix(nodes, "WordNode"):
		return "a name or value"
	}
	return strings.ReplaceAll(nodes, "WordNode", "NUMBER")
}

// joinNames joins names with commas.
func joinNames[T ~string](names []T) string {
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = string(name)
	}
	return strings.Join(words, ", ")
}
