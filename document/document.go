// Package document decodes JSON documents that operators write. It reports all
// problems of a document at once, whereas encoding/json stops at the first.
package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

const (
	// maxShownBytes is the length to which an invalid value is cut in a problem.
	maxShownBytes = 60
	// Hidden is shown in place of a secret's value.
	Hidden = "(hidden)"
	// secretTag is the struct tag of fields whose values are never shown.
	secretTag = "secret"
	// rootField is the Field of problems with the document as a whole.
	rootField = "document"
)

// Problem is one invalid value of a document.
type Problem struct {
	// Field is the JSON path of the value, such as keys[0].secret.
	Field string `json:"field"`
	// Value is the value in the document.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: %q, allowed: %s", p.Field, p.Value, p.Allowed)
}

// Checker collects problems.
type Checker struct{ Problems []Problem }

// Require adds a problem unless ok is true.
func (c *Checker) Require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.Problems = append(c.Problems, Problem{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

// Merge returns the problems found by decoding, followed by those found by checking
// in fields that were decoded: a field that failed to decode, or a part of it, is
// reported only once.
func Merge(decoding, checking []Problem) []Problem {
	merged := slices.Clone(decoding)
	for _, p := range checking {
		known := func(d Problem) bool {
			return d.Field == p.Field || d.Field == rootField || strings.HasPrefix(p.Field, d.Field+".") || strings.HasPrefix(p.Field, d.Field+"[")
		}
		if !slices.ContainsFunc(decoding, known) {
			merged = append(merged, p)
		}
	}
	return merged
}

// Decode decodes raw into the struct that into points to. It leaves out unknown keys
// and values of the wrong type, and returns a problem for each of them.
func Decode(raw []byte, into any) []Problem {
	var d decoder
	var whole json.RawMessage
	if err := json.Unmarshal(raw, &whole); err != nil {
		d.Require(false, rootField, position(raw, err), "JSON; "+err.Error())
		return d.Problems
	}
	d.decode(whole, rootField, reflect.ValueOf(into).Elem(), false)
	return d.Problems
}

// position returns the line of a syntax error, as text.
func position(raw []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "no JSON"
	}
	before := raw[:min(int(syntax.Offset), len(raw))]
	return fmt.Sprintf("line %d", 1+bytes.Count(before, []byte("\n")))
}

type decoder struct{ Checker }

// decode decodes one value; null leaves v unchanged.
func (d *decoder) decode(raw json.RawMessage, path string, v reflect.Value, secret bool) {
	if string(raw) == "null" {
		return
	}
	switch {
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decode(raw, path, v.Elem(), secret)
	case v.Kind() == reflect.Struct && !implementsUnmarshaler(v):
		d.object(raw, path, v)
	case v.Kind() == reflect.Slice && !implementsUnmarshaler(v):
		d.list(raw, path, v)
	default:
		err := json.Unmarshal(raw, v.Addr().Interface())
		d.Require(err == nil, path, displayValue(raw, secret), allowed(v.Type()))
	}
}

// implementsUnmarshaler reports whether the value's type decodes JSON or text itself.
func implementsUnmarshaler(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (d *decoder) object(raw json.RawMessage, path string, v reflect.Value) {
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) != nil {
		d.Require(false, path, displayValue(raw, false), "an object")
		return
	}
	fields := Fields(v.Type())
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field, known := fields[name]
		if !known {
			d.Require(false, joinPath(path, name), displayValue(members[name], true), "no such key; known: "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
			continue
		}
		d.decode(members[name], joinPath(path, name), v.FieldByIndex(field.Index), IsSecret(field))
	}
}

func (d *decoder) list(raw json.RawMessage, path string, v reflect.Value) {
	var elements []json.RawMessage
	if json.Unmarshal(raw, &elements) != nil {
		d.Require(false, path, displayValue(raw, false), "a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for i, element := range elements {
		d.decode(element, fmt.Sprintf("%s[%d]", path, i), v.Index(i), false)
	}
}

// Fields returns the fields of a struct type by their JSON names.
func Fields(t reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = field
		}
	}
	return fields
}

// IsSecret reports whether a field has the tag of secrets, whose values are never
// shown.
func IsSecret(field reflect.StructField) bool {
	_, secret := field.Tag.Lookup(secretTag)
	return secret
}

func joinPath(path, name string) string {
	if path == rootField {
		return name
	}
	return path + "." + name
}

// displayValue returns a value as it is shown in a problem.
func displayValue(raw json.RawMessage, secret bool) string {
	if secret {
		return Hidden
	}
	if len(raw) > maxShownBytes {
		return string(raw[:maxShownBytes]) + "..."
	}
	return string(raw)
}

// allowed describes the values of a type for Problem.Allowed.
func allowed(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint8:
		return "a whole number, 0 to 255"
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	}
	return "IP:port, such as \"192.0.2.7:443\""
}
