package opslang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar covers only the syntax of statements. Nouns, attributes and values
// are validated afterwards, so that several errors in a statement are reported at
// once.

type statementNode struct {
	Change  *changeNode  `parser:"@@"`
	Show    *showNode    `parser:"| @@"`
	Inspect *inspectNode `parser:"| @@"`
}

type changeNode struct {
	Pos        lexer.Position
	Verb       string           `parser:"@( 'create' | 'change' | 'delete' | 'grant' | 'revoke' | 'drain' | 'undrain' )"`
	Noun       *wordNode        `parser:"@@"`
	Name       *wordNode        `parser:"@@"`
	Attributes []*attributeNode `parser:"@@*"`
	Condition  *wordNode        `parser:"( 'if':Word 'version' @@ )?"`
}

// attributeNode is the name and the value of an attribute. Name and Hours are set
// for opening hours, which have a syntax of their own, Other and Value for all other
// attributes.
type attributeNode struct {
	Pos   lexer.Position
	Name  string       `parser:"(?! 'if':Word ) ( @'hours':Word"`
	Hours []*hoursNode `parser:"@@ ( ',' @@ )*"`
	Other string       `parser:"| (?! 'hours':Word ) @Word"`
	Value *wordNode    `parser:"@@ )"`
}

func (a *attributeNode) name() string {
	if a.Name != "" {
		return a.Name
	}
	return a.Other
}

// hoursNode is one of the comma-separated parts of opening hours.
type hoursNode struct {
	Pos    lexer.Position
	Always bool      `parser:"  @'always':Word"`
	Days   *wordNode `parser:"| @@"`
	Times  *wordNode `parser:"  @@"`
}

type showNode struct {
	Pos     lexer.Position
	Where   *placeNode    `parser:"'show' ( 'where':Word @@"`
	Noun    *wordNode     `parser:"| (?! 'where':Word ) @@"`
	Filters []*filterNode `parser:"@@* )"`
}

// placeNode is the part of "show where org NAME runs" after where.
type placeNode struct {
	Noun *wordNode `parser:"@@"`
	Name *wordNode `parser:"@@ 'runs'"`
}

type filterNode struct {
	Pos  lexer.Position
	In   *wordNode `parser:"'in' @@"`
	Noun *wordNode `parser:"| 'of' @@"`
	Name *wordNode `parser:"@@"`
}

// inspectNode is a query about one subject, such as "explain request ID".
type inspectNode struct {
	Pos  lexer.Position
	Verb string    `parser:"@( 'explain' | 'history' )"`
	Noun *wordNode `parser:"@@"`
	Name *wordNode `parser:"@@"`
}

type wordNode struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

func (w *wordNode) at() Position {
	return toPosition(w.Pos)
}

// Two tokens of lookahead distinguish the "if" of a condition from an attribute.
var grammar = participle.MustBuild[statementNode](
	participle.Lexer(tokens),
	participle.UseLookahead(2),
)
