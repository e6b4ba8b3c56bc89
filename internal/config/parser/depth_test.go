package parser

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestNestedDocuments guards against a document that is nested so deeply that parsing it overflows the stack, which ends
// the process.
func TestNestedDocuments(t *testing.T) {
	text := []byte(`{"version": ` + strings.Repeat("[", 1<<20))
	for _, c := range []struct {
		name  string
		parse func() error
	}{
		{"manifest", func() error { _, err := ParseManifest("m.hujson", text); return err }},
		{"settings", func() error { _, err := ParseSettings("s.hujson", text); return err }},
		{"job", func() error { _, err := ParseJob(text); return err }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := c.parse()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "nested deeper"))
		})
	}
}

// TestFindDeepNesting checks which brackets count: those outside of strings and comments.
func TestFindDeepNesting(t *testing.T) {
	deep := strings.Repeat("[", MaxDepth+1)
	for _, c := range []struct {
		name, text string
		at         int
	}{
		{"as deep as allowed", deep[1:], -1},
		{"too deep", " " + deep, 1 + MaxDepth},
		{"objects", strings.Repeat(`{"":`, MaxDepth+1), 4 * MaxDepth},
		{"closed", strings.Repeat("[]", MaxDepth+1), -1},
		{"string", `"` + deep + `"`, -1},
		{"escaped quote", `"\"` + deep + `"`, -1},
		{"after an escaped backslash", `"\\"` + deep, 4 + MaxDepth},
		{"open string", `"` + deep, -1},
		{"line comment", "//" + deep + "\n", -1},
		{"after a line comment with a quote", "// \"\n" + deep, 5 + MaxDepth},
		{"block comment", "/*" + deep + "*/", -1},
		{"after a block comment with a quote", `/*"*/` + deep, 5 + MaxDepth},
		{"open comment", "/*" + deep, -1},
		{"slash", "/", -1},
		{"no comment", "/" + deep, 1 + MaxDepth},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(FindDeepNesting([]byte(c.text)), c.at) })
	}
}

// TestCountValues checks which characters count: those outside of strings and comments.
func TestCountValues(t *testing.T) {
	is := is.New(t)
	objects, commas := CountValues([]byte(`{"a":[{},{"b":"{,\\",{"}],/*{,*/"c":{}}`))
	is.Equal(objects, 4)
	is.Equal(commas, 2)
}
