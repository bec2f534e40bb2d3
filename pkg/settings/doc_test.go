package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fieldComments returns the doc comments of the package's fields by
// "Type.Field", each as one line.
func fieldComments(t *testing.T) map[string]string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	require.NoError(t, err)
	comments := make(map[string]string)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if fields, ok := spec.Type.(*ast.StructType); ok {
				for _, f := range fields.Fields.List {
					for _, id := range f.Names {
						comments[spec.Name.Name+"."+id.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
					}
				}
			}
			return true
		})
	}
	return comments
}

var defaultPattern = regexp.MustCompile(`Default: ([^ ,]*[^ ,.])`)

// Guards against doc comments without unit or default, and against defaults
// that differ from the documented ones.
func TestFieldsDocumentUnitAndDefault(t *testing.T) {
	checkFields(t, reflect.ValueOf(*Default()), fieldComments(t))
}

func checkFields(t *testing.T, section reflect.Value, comments map[string]string) {
	t.Helper()
	for i := range section.NumField() {
		field, value := section.Type().Field(i), section.Field(i)
		name := section.Type().Name() + "." + field.Name
		if value.Kind() == reflect.Struct {
			checkFields(t, value, comments)
			continue
		}
		comment := comments[name]
		assert.Regexp(t, `Default: |Required`, comment, name)
		if !isNumber(value) {
			continue
		}
		// The type's comment gives the unit of all weights.
		if section.Type() != reflect.TypeFor[Weights]() {
			assert.Contains(t, comment, "Unit: ", name)
		}
		match := defaultPattern.FindStringSubmatch(comment)
		if assert.NotNil(t, match, "%s has no default", name) {
			assert.Equal(t, match[1], formatValue(value), name)
		}
	}
}

func isNumber(v reflect.Value) bool {
	return v.CanInt() || v.CanFloat()
}

// formatValue formats a value as doc comments do: 2m rather than 2m0s.
func formatValue(v reflect.Value) string {
	if v.Type() != durationType {
		return fmt.Sprint(v.Interface())
	}
	text := v.Interface().(time.Duration).String()
	text = strings.TrimSuffix(text, "m0s") + strings.Repeat("m", strings.Count(text, "m0s"))
	return strings.TrimSuffix(text, "h0m") + strings.Repeat("h", strings.Count(text, "h0m"))
}
