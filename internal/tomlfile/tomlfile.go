// Package tomlfile reads TOML strictly: what is unknown or of the wrong kind is told with file and line, all unknown
// names at once, and each with the name that was most likely meant.
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

// Decode reads a text into a struct.
func Decode(path string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		var faults []error
		for _, e := range missing.Errors {
			line, _ := e.Position()
			faults = append(faults, fmt.Errorf("%s:%d: %s is unknown%s", path, line, strings.Join(e.Key(), "."), suggest(e.Key(), reflect.TypeOf(into))))
		}
		return errors.Join(faults...)
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return fmt.Errorf("%s:%d: %s", path, line, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", locateError(path, text, err, reflect.TypeOf(into)), err)
}

// locateError finds the line of an error that the library tells without one, such as a bare number where a time is wanted: the
// first line up to which the text gives the same error.
func locateError(path string, text []byte, err error, into reflect.Type) string {
	end := 0
	for line := 1; end < len(text); line++ {
		next := bytes.IndexByte(text[end:], '\n')
		if next < 0 {
			next = len(text) - end - 1
		}
		end += next + 1
		got := toml.NewDecoder(bytes.NewReader(text[:end])).Decode(reflect.New(elementType(into)).Interface())
		if got != nil && got.Error() == err.Error() {
			return fmt.Sprintf("%s:%d", path, line)
		}
	}
	return path
}

// suggest finds the name that a key's last part was most likely to be: at most a third of its letters differ.
func suggest(key []string, in reflect.Type) string {
	for _, part := range key[:len(key)-1] {
		if in = elementType(in); in.Kind() != reflect.Struct {
			return ""
		}
		found := false
		for i := range in.NumField() {
			if strings.EqualFold(keyName(in.Field(i)), part) {
				in, found = in.Field(i).Type, true
				break
			}
		}
		if !found {
			return ""
		}
	}
	if in = elementType(in); in.Kind() != reflect.Struct {
		return ""
	}
	last := strings.ToLower(key[len(key)-1])
	best, least := "", len(last)/3+1
	for i := range in.NumField() {
		if n := keyName(in.Field(i)); n != "" {
			if d := levenshtein.ComputeDistance(last, n); d < least || d == least && best == "" {
				best, least = n, d
			}
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; is %q meant?", best)
}

func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// keyName is a field's in the file; "" if it has none.
func keyName(f reflect.StructField) string {
	tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if tag == "-" || !f.IsExported() {
		return ""
	}
	if tag != "" {
		return tag
	}
	return strings.ToLower(f.Name)
}

// Positions finds the line of each key; tables of an array have their number in brackets.
type Positions struct {
	path  string
	lines map[string]int
}

// FindPositions reads where the keys of a text stand.
func FindPositions(path string, text []byte) Positions {
	lines, counts, table := map[string]int{}, map[string]int{}, ""
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
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

// At is where a key stands, or the nearest table above it.
func (p Positions) At(key string) string {
	for name := key; name != ""; {
		if line, known := p.lines[name]; known {
			return fmt.Sprintf("%s:%d", p.path, line)
		}
		name = name[:max(strings.LastIndexByte(name, '.'), 0)]
	}
	return p.path
}
