package parser

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares got with a file under testdata, or writes the file with -update.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(got, string(want))
}

const goodManifest = `{
  "version": 1,
  "places": [{"name": "p", "service": "s", "racks": 1, "workers": 2, "slots": 8, "processors": 8, "memory": 8, "accelerators": 8}],
  "organisations": [{"name": "o", "token": "0000000000000000000000000000000000000000000000000000000000000000",
    "guarantees": [{"service": "s", "slots": 8, "count": 1}]}],
}`

const goodSettings = `{
  "name": "vm1", "place": "p", "listen": "127.0.0.1:1", "peering": "127.0.0.1:2",
  "keepers": [{"name": "vm1", "place": "p", "address": "127.0.0.1:2"}],
  "data": "d", "operator": "o", "secret": "s",
}`

// TestErrors compares the texts and positions of errors with a golden file.
func TestErrors(t *testing.T) {
	manifest := func(text string) error {
		_, err := ParseManifest("m.hujson", []byte(text))
		return err
	}
	settings := func(text string) error {
		_, err := ParseSettings("s.hujson", []byte(text))
		return err
	}
	job := func(text string) error {
		_, err := ParseJob([]byte(text))
		return err
	}
	cases := []struct {
		name  string
		parse func(string) error
		text  string
	}{
		{"empty manifest", manifest, ``},
		{"syntax", manifest, "{\n  \"version\": 1,,\n}"},
		{"unknown field", manifest, strings.Replace(goodManifest, `"version": 1`, `"version": 1, "colour": 2`, 1)},
		{"unknown nested field", manifest, strings.Replace(goodManifest, `"racks": 1`, `"racks": 1, "tall": 2`, 1)},
		{"wrong type", manifest, strings.Replace(goodManifest, `"version": 1`, `"version": "one"`, 1)},
		{"weigh", manifest, strings.Replace(goodManifest, `"version": 1`, `"version": 1, "weigh": "both"`, 1)},
		{"no version", manifest, strings.Replace(goodManifest, `"version": 1`, `"version": 0`, 1)},
		{"slots beyond the width", manifest, strings.Replace(goodManifest, `"slots": 8, "processors"`, `"slots": 9, "processors"`, 1)},
		{"token", manifest, strings.Replace(goodManifest, `000"`, `00"`, 1)},
		{"guarantee no power of two", manifest, strings.Replace(goodManifest, `"slots": 8, "count"`, `"slots": 6, "count"`, 1)},
		{"guarantees don't fit", manifest, strings.Replace(goodManifest, `"count": 1`, `"count": 3`, 1)},
		{"name with a space", manifest, strings.Replace(goodManifest, `"name": "p"`, `"name": "p q"`, 1)},
		{"guarantee in any place", manifest, strings.Replace(goodManifest, `{"service": "s", "slots": 8, "count"`, `{"service": "t", "slots": 8, "count"`, 1)},
		{"guarantee in a place", manifest, strings.Replace(goodManifest, `{"service": "s", "slots": 8, "count"`, `{"place": "q", "service": "s", "slots": 8, "count"`, 1)},
		{"settings name with a slash", settings, strings.Replace(goodSettings, `"name": "`, `"name": "/`, 1)},
		{"trailing text", manifest, goodManifest + "{}"},
		{"name twice", manifest, strings.Replace(goodManifest, `"organisations": [`, `"organisations": [{"name": "o", "token": "`+strings.Repeat("1", 64)+`"},`, 1)},
		{"address", settings, strings.Replace(goodSettings, `127.0.0.1:1"`, `localhost:1"`, 1)},
		{"even keepers", settings, strings.Replace(goodSettings, `"keepers": [`, `"keepers": [{"name": "vm2", "address": "127.0.0.1:3"},`, 1)},
		{"keeper without data", settings, strings.Replace(goodSettings, `"data": "d", `, ``, 1)},
		{"level", settings, strings.Replace(goodSettings, `"data"`, `"level": "loud", "data"`, 1)},
		{"duration", settings, strings.Replace(goodSettings, `"data"`, `"drain": "soon", "data"`, 1)},
		{"no service", job, `{"tasks": 1}`},
		{"too many tasks", job, `{"service": "s", "tasks": 129}`},
		{"adjacency", job, `{"service": "s", "adjacency": "near"}`},
		{"negative", job, `{"service": "s", "processors": -1}`},
	}
	var b strings.Builder
	for _, c := range cases {
		err := c.parse(c.text)
		var e *Error
		if !errors.As(err, &e) {
			t.Errorf("%s: %v is not an *Error", c.name, err)
		}
		fmt.Fprintf(&b, "%s\n\t%v\n", c.name, err)
	}
	golden(t, "errors.golden", b.String())
}

func TestGoodDocuments(t *testing.T) {
	is := is.New(t)
	m, err := ParseManifest("m", []byte(goodManifest))
	is.NoErr(err)
	is.Equal(m.Organisations[0].Queue, defaultQueueLength)
	_, err = ParseSettings("s", []byte(goodSettings))
	is.NoErr(err)
	j, err := ParseJob([]byte(`{"service": "s"}`))
	is.NoErr(err)
	is.Equal(j.GangSize(), 1)
	is.True(j.IsIdempotent())
}

func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../../examples/*/*.hujson")
	if err != nil || len(paths) != 20 {
		t.Fatalf("%d examples, %v", len(paths), err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		switch filepath.Base(path) {
		case "manifest.hujson":
			_, err = ParseManifest(path, text)
		case "job.hujson":
			_, err = ParseJob(text)
		default:
			_, err = ParseSettings(path, text)
		}
		if err != nil {
			t.Error(err)
		}
	}
}

func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(goodManifest))
	f.Add([]byte(`{"version": 1, "places": [{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := ParseManifest("m", text)
		if err == nil && (m.Version == 0 || !m.DeclaredFleet().Feasible()) {
			t.Fatalf("accepted a manifest without a version or with guarantees that do not fit: %+v", m)
		}
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(_ *testing.T, text []byte) {
		if s, err := ParseSettings("s", text); err == nil {
			s.ListenAddr()
			s.PeeringAddr()
		}
	})
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(`{"service": "s", "tasks": 4, "runtime": "3s", "idempotent": false}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		j, err := ParseJob(text)
		if err == nil && (j.GangSize() < 1 || j.GangSize() > MaxTasks || j.Service == "") {
			t.Fatalf("accepted %+v", j)
		}
	})
}

// TestWantedName guards against an error that names fewer characters than are accepted, or more.
func TestWantedName(t *testing.T) {
	is := is.New(t)
	for c := rune(0); c < 256; c++ {
		word := "other"
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
			word = "letters"
		case c >= '0' && c <= '9':
			word = "digits"
		case c == '.':
			word = "dots"
		case c == '-':
			word = "dashes"
		case c == '_':
			word = "underscores"
		}
		is.Equal(ValidName(string(c)), strings.Contains(WantedName, word))
	}
	is.True(ValidName(strings.Repeat("a", 64)) && strings.Contains(WantedName, "1 to 64"))
	is.True(!ValidName(strings.Repeat("a", 65)) && !ValidName(""))
}
