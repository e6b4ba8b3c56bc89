// Package parser reads what people write: daemon settings, the manifest and job bodies. It
// refuses bad input with one clear error that carries a position; only reading and checking
// may live here.
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

// Error is a fault in a document, with the position at which it was found.
type Error struct {
	File   string
	Line   int // from 1, 0 when unknown
	Column int // from 1, in bytes
	Field  string
	Reason string
}

// Error renders the fault as file:line:column: field: reason.
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

// decode reads JSON with comments into v and refuses unknown fields and trailing data.
func decode(file string, text []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return syntaxError(file, err)
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(file, standard, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return at(file, standard, d.InputOffset(), "", "more text after the document")
	}
	return nil
}

// syntaxError turns the position in a hujson error into ours.
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
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return at(file, text, kind.Offset, kind.Field, fmt.Sprintf("is a %s, want %s", kind.Value, kind.Type))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		return at(file, text, fieldOffset(text, offset, name), name, "unknown field")
	}
	return at(file, text, offset, "", strings.TrimPrefix(err.Error(), "json: "))
}

// fieldOffset finds the last use of a field's name before the offset where decoding stopped.
func fieldOffset(text []byte, offset int64, name string) int64 {
	end := min(int(offset)+len(name)+2, len(text))
	if i := bytes.LastIndex(text[:end], []byte(`"`+name+`"`)); i >= 0 {
		return int64(i)
	}
	return offset
}

func at(file string, text []byte, offset int64, field, reason string) *Error {
	before := text[:min(int(offset), len(text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return &Error{File: file, Line: line, Column: column, Field: field, Reason: reason}
}

// checker collects the first fault of a document that has been decoded.
type checker struct {
	file string
	text []byte
	err  *Error
}

// require records a fault in a field unless ok holds. Only the first fault is kept.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	reason := fmt.Sprintf(format, args...)
	c.err = &Error{File: c.file, Field: field, Reason: reason}
	if offset, ok := c.locate(field); ok {
		c.err = at(c.file, c.text, int64(offset), field, reason)
	}
}

// locate returns the offset of a field's value, or of the object or array that lacks it.
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
