package opslang

import (
	"fmt"
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"
)

// The lexer accepts any input. A character that matches no other rule becomes an
// invalid token, so that it does not suppress the findings after it.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Continuation", Pattern: `\\[ \t]*\r?\n`},
	{Name: "Space", Pattern: `[ \t\r]+`},
	{Name: "Separator", Pattern: `[;\n]`},
	{Name: "String", Pattern: `"(\\[^\n]|[^"\\\n])*"`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s;,"#\\]+`},
	{Name: "Invalid", Pattern: `(?s).`},
})

var (
	symbols       = tokens.Symbols()
	commentToken  = symbols["Comment"]
	continueToken = symbols["Continuation"]
	spaceToken    = symbols["Space"]
	separator     = symbols["Separator"]
	stringToken   = symbols["String"]
	invalidToken  = symbols["Invalid"]
)

const (
	// maxInvalidTokens limits the work on input that is not a script: for each
	// unclosed quote the lexer scans the rest of the line.
	maxInvalidTokens = 20
	// maxStatementTokens limits the length of a statement. Opening hours for each
	// day take about 30 tokens.
	maxStatementTokens = 500
)

// splitStatements splits a script into the tokens of its statements. Each
// statement's tokens end with an end-of-input token at the position where the
// statement ends.
func splitStatements(source string, findings *Findings) [][]lexer.Token {
	lex, err := tokens.LexString("", source)
	if err != nil {
		findings.add(Position{1, 1}, "", "%v", err)
		return nil
	}
	var statements [][]lexer.Token
	var current []lexer.Token
	invalid := 0
	for {
		token, err := lex.Next()
		if err != nil {
			findings.add(Position{1, 1}, "", "%v", err)
			return statements
		}
		switch token.Type {
		case commentToken, continueToken, spaceToken:
			continue
		case separator, lexer.EOF:
			if len(current) > 0 {
				statements = append(statements, append(current, lexer.EOFToken(token.Pos)))
			}
			current = nil
		case invalidToken:
			invalid++
			current = append(current, unquote(token, findings))
		default:
			current = append(current, unquote(token, findings))
		}
		switch {
		case invalid > maxInvalidTokens:
			findings.add(toPosition(token.Pos), "a script of this language", "too many invalid characters")
			return statements
		case len(current) > maxStatementTokens:
			findings.add(toPosition(token.Pos), fmt.Sprintf("at most %d", maxStatementTokens), "statement has too many words")
			return statements
		}
		if token.EOF() {
			return statements
		}
	}
}

// unquote replaces the text of a string token by the string's value, and reports
// malformed strings and invalid characters.
func unquote(token lexer.Token, findings *Findings) lexer.Token {
	switch token.Type {
	case stringToken:
		value, err := strconv.Unquote(token.Value)
		if err != nil {
			findings.add(toPosition(token.Pos), `escapes such as \" and \\`, "malformed string %s", token.Value)
		}
		token.Value = value
	case invalidToken:
		expected := ""
		if token.Value == `"` {
			expected = "a closing quote on the same line"
		}
		findings.add(toPosition(token.Pos), expected, "unexpected character %q", token.Value)
	}
	return token
}

func toPosition(p lexer.Position) Position {
	return Position{Line: p.Line, Column: p.Column}
}

// tokenList implements lexer.Lexer over the tokens of one statement.
type tokenList struct {
	tokens []lexer.Token
}

// Next returns the next token. It returns the last token, which marks the end of
// input, repeatedly.
func (l *tokenList) Next() (lexer.Token, error) {
	token := l.tokens[0]
	if len(l.tokens) > 1 {
		l.tokens = l.tokens[1:]
	}
	return token, nil
}
