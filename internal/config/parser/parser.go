// Package parser decodes and validates daemon settings, the manifest and job bodies. It rejects invalid input
// with one error that carries a position.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is an error in a document and its position.
type Error struct {
	File   string
	Line   int // from 1, 0 when unknown
	Column int // from 1, in bytes
	Field  string
	Reason string
}

// Error formats the error as file:line:column: field: reason.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, ": %s", e.Field)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// decode decodes JSON with comments into v and rejects unknown fields and trailing data.
func decode(file string, text []byte, v any) error {
	if at := FindDeepNesting(text); at >= 0 {
		return errorAt(file, text, int64(at), "", fmt.Sprintf("arrays and objects are nested deeper than %d", MaxDepth))
	}
	standardized, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return syntaxError(file, err)
	}
	d := json.NewDecoder(bytes.NewReader(standardized))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(file, standardized, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errorAt(file, standardized, d.InputOffset(), "", "unexpected text after the document")
	}
	return nil
}

// syntaxError converts a hujson error, whose position is part of its text, into an Error.
func syntaxError(file string, err error) error {
	e := &Error{File: file, Reason: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		e.Line, e.Column = line, column
		_, reason, _ := strings.Cut(strings.TrimPrefix(err.Error(), "hujson: "), ": ")
		e.Reason = reason
	}
	return e
}

func decodeError(file string, text []byte, offset int64, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errorAt(file, text, typeErr.Offset, typeErr.Field, fmt.Sprintf("is a %s, want %s", typeErr.Value, typeErr.Type))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return errorAt(file, text, fieldOffset(text, offset, name), name, "unknown field")
	}
	return errorAt(file, text, offset, "", strings.TrimPrefix(err.Error(), "json: "))
}

// fieldOffset returns the offset of the last use of a field name before the offset where decoding stopped.
func fieldOffset(text []byte, offset int64, name string) int64 {
	end := min(int(offset)+len(name)+2, len(text))
	if i := bytes.LastIndex(text[:end], []byte(`"`+name+`"`)); i >= 0 {
		return int64(i)
	}
	return offset
}

func errorAt(file string, text []byte, offset int64, field, reason string) *Error {
	before := text[:min(int(offset), len(text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return &Error{File: file, Line: line, Column: column, Field: field, Reason: reason}
}

// checker records the first validation error of a decoded document.
type checker struct {
	file string
	text []byte
	err  *Error
}

// require records an error in a field unless ok is true. Only the first error is kept.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	reason := fmt.Sprintf(format, args...)
	c.err = &Error{File: c.file, Field: field, Reason: reason}
	if offset, ok := c.locate(field); ok {
		c.err = errorAt(c.file, c.text, int64(offset), field, reason)
	}
}

func (c *checker) requireName(name, field string) {
	c.require(ValidName(name), field, "is %q, want %s", name, WantedName)
}

// locate returns the offset of a field's value, or of the innermost existing object or array around it.
func (c *checker) locate(field string) (offset int, ok bool) {
	root, err := hujson.Parse(bytes.Clone(c.text))
	if err != nil {
		return 0, false
	}
	pointer := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(field)
	for pointer != "" {
		if v := root.Find(pointer); v != nil {
			return v.StartOffset, true
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return 0, false
}

func (c *checker) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}
