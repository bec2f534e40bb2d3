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
