// Package tomlfile reads TOML strictly. Errors name the file and line. All unknown keys are reported at once, each with the
// known key that was most likely meant.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode decodes the text of the file at path into the struct to which target points.
func Decode(path string, text []byte, target any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
	var missing *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		var faults []error
		for _, unknown := range missing.Errors {
			line, _ := unknown.Position()
			faults = append(faults, fmt.Errorf("%s:%d: %s is unknown%s", path, line, strings.Join(unknown.Key(), "."), suggest(unknown.Key(), reflect.TypeOf(target))))
		}
		return errors.Join(faults...)
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		return fmt.Errorf("%s:%d: %s", path, line, strings.TrimPrefix(invalid.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", locateError(path, text, err, reflect.TypeOf(target)), err)
}

// locateError finds the position of an error that the library returns without one, such as a bare number in place of a
// duration: it is in the first line up to which the text gives the same error.
func locateError(path string, text []byte, err error, target reflect.Type) string {
	end := 0
	for line := 1; end < len(text); line++ {
		next := bytes.IndexByte(text[end:], '\n')
		if next < 0 {
			next = len(text) - end - 1
		}
		end += next + 1
		got := toml.NewDecoder(bytes.NewReader(text[:end])).Decode(reflect.New(elementType(target)).Interface())
		if got != nil && got.Error() == err.Error() {
			return fmt.Sprintf("%s:%d", path, line)
		}
	}
	return path
}

// suggest returns a hint that names the known key most similar to an unknown one, or "" if none differs by at most a third of
// the letters. It compares the last part of the keys, within the same table.
func suggest(key []string, current reflect.Type) string {
	for _, part := range key[:len(key)-1] {
		if current = elementType(current); current.Kind() != reflect.Struct {
			return ""
		}
		found := false
		for i := range current.NumField() {
			if strings.EqualFold(keyName(current.Field(i)), part) {
				current, found = current.Field(i).Type, true
				break
			}
		}
		if !found {
			return ""
		}
	}
	if current = elementType(current); current.Kind() != reflect.Struct {
		return ""
	}
	last := strings.ToLower(key[len(key)-1])
	best, leastDistance := "", len(last)/3+1
	for i := range current.NumField() {
		if name := keyName(current.Field(i)); name != "" {
			if distance := levenshtein.ComputeDistance(last, name); distance < leastDistance || distance == leastDistance && best == "" {
				best, leastDistance = name, distance
			}
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; is %q meant?", best)
}

// elementType returns the type behind pointers and slices.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// keyName returns the key of a struct field in the file; "" if it has none.
func keyName(field reflect.StructField) string {
	tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if tag == "-" || !field.IsExported() {
		return ""
	}
	if tag != "" {
		return tag
	}
	return strings.ToLower(field.Name)
}

// Positions holds the line of each key in a file. Keys are dotted paths; a table of an array has its index in brackets, as in
// "pool.product[1].name".
type Positions struct {
	path  string
	lines map[string]int
}

// FindPositions finds the keys in the text of the file at path.
func FindPositions(path string, text []byte) Positions {
	lines, counts, table := map[string]int{}, map[string]int{}, ""
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		var parts []string
		line := 0
		for keyParts := expression.Key(); keyParts.Next(); {
			node := keyParts.Node()
			parts = append(parts, string(node.Data))
			if line == 0 {
				line = parser.Shape(node.Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.Table:
			table = name
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
		default:
			if table != "" {
				name = table + "." + name
			}
			lines[name] = line
			continue
		}
		lines[table] = line
	}
	return Positions{path, lines}
}

// At returns the file and line of a key, or of the nearest table above it if the key is not in the file.
func (p Positions) At(key string) string {
	for name := key; name != ""; {
		if line, exists := p.lines[name]; exists {
			return fmt.Sprintf("%s:%d", p.path, line)
		}
		name = name[:max(strings.LastIndexByte(name, '.'), 0)]
	}
	return p.path
}
