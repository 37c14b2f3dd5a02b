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

// stdinName names standard input as a file.
const stdinName = "-"

// fileFault is one thing wrong with a configuration file.
type fileFault struct {
	File string `json:"file"`
	// Line counts from 1.
	Line    int    `json:"line"`
	Object  string `json:"object,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

func (f fileFault) String() string {
	place := strings.Trim(f.Object+"."+f.Field, ".")
	if place != "" {
		place += ": "
	}
	return fmt.Sprintf("%s:%d: %s%s (remedy: %s)", f.File, f.Line, place, f.Message, f.Remedy)
}

// loadDocument reads a TOML file and lists all that is wrong with it.
func loadDocument(path string, in io.Reader) (configuration.Document, []fileFault, error) {
	raw, err := readFile(path, in)
	if err != nil {
		return configuration.Document{}, nil, fault.Wrap(err, fault.NotFound, "name a readable file, or - for standard input", "configuration file")
	}
	var doc configuration.Document
	faults := decodeDocument(path, raw, &doc)
	if len(faults) > 0 {
		return doc, faults, nil
	}
	doc = canonical(doc)
	lines := findLines(raw)
	for _, f := range configuration.Check(doc, objectstore.MaxValueBytes) {
		faults = append(faults, fileFault{path, lines.of(f.Object, f.Field), f.Object, f.Field, f.Message, f.Remedy})
	}
	return doc, faults, nil
}

// canonical fills in the defaults and makes empty lists nil, so that a list left out and an
// empty one do not differ.
func canonical(doc configuration.Document) configuration.Document {
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

// decodeDocument decodes raw and refuses unknown keys.
func decodeDocument(path string, raw []byte, doc *configuration.Document) []fileFault {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(doc)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict):
		return unknownKeys(path, strict)
	case errors.As(err, &decode):
		line, _ := decode.Position()
		return []fileFault{{path, line, "", strings.Join(decode.Key(), "."), decode.Error(), "correct this line"}}
	}
	return []fileFault{{path, 1, "", "", err.Error(), "write the configuration as TOML"}}
}

func unknownKeys(path string, strict *toml.StrictMissingError) []fileFault {
	var out []fileFault
	for _, e := range strict.Errors {
		line, _ := e.Position()
		out = append(out, fileFault{path, line, "", strings.Join(e.Key(), "."), "unknown key", "remove the key or correct its spelling"})
	}
	return out
}

// lines tells where the objects and fields of a file stand, keyed by their names joined by a
// null byte.
type lines map[string]int

const nameSeparator = "\x00"

// of gives the line of a field, else of its object, else of its section, else 1.
func (l lines) of(object, field string) int {
	path := append(strings.SplitN(object, "/", 2), field)
	for n := len(path); n > 0; n-- {
		if line, ok := l[strings.Join(path[:n], nameSeparator)]; ok {
			return line
		}
	}
	return 1
}

func (l lines) set(path []string, line int) {
	for n := range path {
		name := strings.Join(path[:n+1], nameSeparator)
		if _, ok := l[name]; !ok || n == len(path)-1 {
			l[name] = line
		}
	}
}

// findLines walks a file that decodes.
func findLines(raw []byte) lines {
	l := lines{}
	var p unstable.Parser
	p.Reset(raw)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = keyOf(e)
			l.set(table, lineOf(&p, e))
		case unstable.KeyValue:
			l.keyValue(&p, table, e)
		}
	}
	return l
}

// keyValue takes in one assignment and those inside an inline table.
func (l lines) keyValue(p *unstable.Parser, table []string, e *unstable.Node) {
	path := append(append([]string{}, table...), keyOf(e)...)
	l.set(path, lineOf(p, e))
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	children := e.Value().Children()
	for children.Next() {
		l.keyValue(p, path, children.Node())
	}
}

func keyOf(e *unstable.Node) []string {
	var path []string
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
	}
	return path
}

// lineOf gives the line of the node's key.
func lineOf(p *unstable.Parser, e *unstable.Node) int {
	it := e.Key()
	if !it.Next() {
		return 1
	}
	return p.Shape(it.Node().Raw).Start.Line
}
