package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

// fileError is one error in a configuration file.
type fileError struct {
	File string `json:"file"`
	// Line is the line number, starting at 1.
	Line    int    `json:"line"`
	Object  string `json:"object,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

func (f fileError) String() string {
	location := strings.Trim(f.Object+"."+f.Field, ".")
	if location != "" {
		location += ": "
	}
	return fmt.Sprintf("%s:%d: %s%s (remedy: %s)", f.File, f.Line, location, f.Message, f.Remedy)
}

// loadDocument reads and validates a TOML file.
func loadDocument(path string, in io.Reader) (configuration.Document, []fileError, error) {
	raw, err := readFile(path, in)
	if err != nil {
		return configuration.Document{}, nil, fault.Wrap(err, fault.NotFound, "name a readable file, or - for standard input", "configuration file")
	}
	var doc configuration.Document
	fileErrors := decodeDocument(path, raw, &doc)
	if len(fileErrors) > 0 {
		return doc, fileErrors, nil
	}
	doc = normalizeForDiff(doc)
	lines := indexLines(raw)
	for _, f := range configuration.Check(doc, objectstore.MaxValueBytes) {
		fileErrors = append(fileErrors, fileError{path, lines.lookup(f.Object, f.Field), f.Object, f.Field, f.Message, f.Remedy})
	}
	return doc, fileErrors, nil
}

// normalizeForDiff fills in the defaults and sets empty lists to nil, so that an omitted list and an
// empty list compare equal.
func normalizeForDiff(doc configuration.Document) configuration.Document {
	doc = configuration.Normalize(doc)
	for name, p := range doc.Plans {
		p.Models, p.Adapters = nilIfEmpty(p.Models), nilIfEmpty(p.Adapters)
		doc.Plans[name] = p
	}
	for name, m := range doc.Models {
		m.Adapters = nilIfEmpty(m.Adapters)
		doc.Models[name] = m
	}
	return doc
}

func nilIfEmpty(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return list
}

func readFile(path string, in io.Reader) ([]byte, error) {
	if path == stdinName {
		return io.ReadAll(in)
	}
	return os.ReadFile(path)
}

// decodeDocument decodes raw and rejects unknown keys.
func decodeDocument(path string, raw []byte, doc *configuration.Document) []fileError {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(doc)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		return unknownKeyErrors(path, strict)
	case errors.As(err, &decode):
		line, _ := decode.Position()
		return []fileError{{path, line, "", strings.Join(decode.Key(), "."), decode.Error(), "correct this line"}}
	}
	return []fileError{{path, 1, "", "", err.Error(), "write the configuration as TOML"}}
}

func unknownKeyErrors(path string, strict *toml.StrictMissingError) []fileError {
	var out []fileError
	for _, e := range strict.Errors {
		line, _ := e.Position()
		out = append(out, fileError{path, line, "", strings.Join(e.Key(), "."), "unknown key", "remove the key or correct its spelling"})
	}
	return out
}

// lineIndex maps the path of each table and key in a file to its line. Path elements are joined by
// pathSeparator.
type lineIndex map[string]int

const pathSeparator = "\x00"

// lookup returns the line of a field. If the file does not contain the field, it returns the line of
// the object or section, or 1.
func (l lineIndex) lookup(object, field string) int {
	path := append(strings.SplitN(object, "/", 2), field)
	for n := len(path); n > 0; n-- {
		if line, ok := l[strings.Join(path[:n], pathSeparator)]; ok {
			return line
		}
	}
	return 1
}

func (l lineIndex) set(path []string, line int) {
	for n := range path {
		key := strings.Join(path[:n+1], pathSeparator)
		if _, ok := l[key]; !ok || n == len(path)-1 {
			l[key] = line
		}
	}
}

// indexLines returns the lines of all tables and keys in raw, which must be valid TOML.
func indexLines(raw []byte) lineIndex {
	l := lineIndex{}
	var p unstable.Parser
	p.Reset(raw)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keyPath(e)
			l.set(table, lineOf(&p, e))
		case unstable.KeyValue:
			l.addKeyValue(&p, table, e)
		}
	}
	return l
}

// addKeyValue adds a key and, if its value is an inline table, the keys of that table.
func (l lineIndex) addKeyValue(p *unstable.Parser, table []string, e *unstable.Node) {
	path := append(append([]string{}, table...), keyPath(e)...)
	l.set(path, lineOf(p, e))
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	children := e.Value().Children()
	for children.Next() {
		l.addKeyValue(p, path, children.Node())
	}
}

func keyPath(e *unstable.Node) []string {
	var path []string
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
	}
	return path
}

// lineOf returns the line of the node's key.
func lineOf(p *unstable.Parser, e *unstable.Node) int {
	it := e.Key()
	if !it.Next() {
		return 1
	}
	return p.Shape(it.Node().Raw).Start.Line
}
