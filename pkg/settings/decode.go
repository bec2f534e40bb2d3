package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxFileBytes limits the size of a settings file; typical files have a few KiB.
const maxFileBytes = 1 << 20

var durationType = reflect.TypeFor[time.Duration]()

// decoder decodes a syntax tree into settings and records the offset of each
// field, so that findings of later checks carry its line and column.
type decoder struct {
	file     string
	data     []byte
	offsets  map[string]int
	failed   map[string]bool
	findings Findings
}

func newDecoder(file string, data []byte) *decoder {
	return &decoder{
		file:    file,
		data:    data,
		offsets: make(map[string]int),
		failed:  make(map[string]bool),
	}
}

// decode fills s from the file. It reports false if the file is too large or is
// not JSON with comments. Findings about single values do not end it.
func (d *decoder) decode(s *Settings) bool {
	if len(d.data) > maxFileBytes {
		d.addAtOffset(0, "", fmt.Sprintf("file has %d bytes, the limit is %d", len(d.data), maxFileBytes))
		return false
	}
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.syntaxError(err)
		return false
	}
	d.value(&root, reflect.ValueOf(s).Elem(), "")
	return true
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// syntaxError adds a finding about a syntax error. The parser gives the position
// only in the text of its message.
func (d *decoder) syntaxError(err error) {
	finding := Finding{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		finding.Line, _ = strconv.Atoi(m[1])
		finding.Column, _ = strconv.Atoi(m[2])
		finding.Message = m[3]
	}
	d.findings = append(d.findings, finding)
}

func (d *decoder) value(v *hujson.Value, target reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	switch {
	case target.Type() == durationType:
		d.duration(v, target, path)
	case target.Kind() == reflect.Pointer:
		d.pointer(v, target, path)
	case target.Kind() == reflect.Struct:
		d.object(v, target, path)
	case target.Kind() == reflect.Slice:
		d.array(v, target, path)
	default:
		d.literal(v, target, path)
	}
}

// pointer decodes an optional section. The value null leaves it unset.
func (d *decoder) pointer(v *hujson.Value, target reflect.Value, path string) {
	if v.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.value(v, target.Elem(), path)
}

func (d *decoder) object(v *hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reject(v.StartOffset, path, "expected an object, found "+kindName(v))
		return
	}
	fields := fieldsByName(target.Type())
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		index, known := fields[name]
		switch {
		case !known:
			d.reject(member.Name.StartOffset, field, "unknown field")
		case seen[name]:
			d.reject(member.Name.StartOffset, field, "field is given twice")
		default:
			seen[name] = true
			d.value(&member.Value, target.Field(index), field)
		}
	}
}

func (d *decoder) array(v *hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reject(v.StartOffset, path, "expected an array, found "+kindName(v))
		return
	}
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(&array.Elements[i], items.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(items)
}

func (d *decoder) duration(v *hujson.Value, target reflect.Value, path string) {
	if v.Value.Kind() != '"' {
		d.reject(v.StartOffset, path, `expected a duration such as "3s", found `+kindName(v))
		return
	}
	text := v.Value.(hujson.Literal).String()
	duration, err := time.ParseDuration(text)
	if err != nil {
		d.reject(v.StartOffset, path, fmt.Sprintf(`expected a duration such as "3s" or "50ms", found %q`, text))
		return
	}
	target.SetInt(int64(duration))
}

func (d *decoder) literal(v *hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.reject(v.StartOffset, path, fmt.Sprintf("expected %s, found %s", typeName(target), kindName(v)))
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		d.reject(v.StartOffset, path, fmt.Sprintf("expected %s, found %s", typeName(target), literal))
	case err != nil:
		d.reject(v.StartOffset, path, err.Error())
	}
}

// reject adds a finding about a value that cannot be decoded, and excludes the
// field from later checks.
func (d *decoder) reject(offset int, field, message string) {
	d.failed[field] = true
	d.addAtOffset(offset, field, message)
}

func (d *decoder) addAtOffset(offset int, field, message string) {
	line, column := d.position(offset)
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Field: field, Message: message,
	})
}

// addAtField adds a finding about a field. Its position is that of the field or, if
// the file does not have it, of the innermost section around it. A field or
// section that could not be decoded already has a finding and gets no other.
func (d *decoder) addAtField(field, message string) {
	for at := field; !d.failed[at]; at = parentPath(at) {
		if offset, ok := d.offsets[at]; ok {
			d.addAtOffset(offset, field, message)
			return
		}
	}
}

func (d *decoder) position(offset int) (line, column int) {
	offset = min(offset, len(d.data))
	before := string(d.data[:offset])
	return 1 + strings.Count(before, "\n"), offset - strings.LastIndexByte(before, '\n')
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = i
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

func typeName(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
