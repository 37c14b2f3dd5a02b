// Package jsonsplit splits a JSON array or object into its elements without decoding them, so that an element that
// encoding/json refuses, such as one that is nested too deeply, does not make its siblings unreadable.
package jsonsplit

import (
	"encoding/json"
	"strconv"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Elements returns the elements of an array, which share memory with raw. An array that is null has none. The elements
// are delimited, not checked.
func Elements(raw []byte) ([]json.RawMessage, error) {
	s := scanner{raw: raw}
	if s.isNull() {
		return nil, nil
	}
	var out []json.RawMessage
	err := s.list('[', ']', func() bool {
		element := s.value()
		out = append(out, element)
		return len(element) > 0
	})
	return out, err
}

// Members returns the members of an object by name, which share memory with raw. Of two members with one name the last
// one counts, as in encoding/json. The members are delimited, not checked.
func Members(raw []byte) (map[string]json.RawMessage, error) {
	s := scanner{raw: raw}
	out := map[string]json.RawMessage{}
	err := s.list('{', '}', func() bool {
		var name string
		if json.Unmarshal(s.value(), &name) != nil || !s.next(':') {
			return false
		}
		member := s.value()
		out[name] = member
		return len(member) > 0
	})
	return out, err
}

// scanner reads through JSON text. It does not recurse, so that the depth of the text is not limited.
type scanner struct {
	raw []byte
	at  int
}

// list reads an array or object and calls element at the begin of each element.
func (s *scanner) list(opening, closing byte, element func() bool) error {
	if !s.next(opening) {
		return s.malformed()
	}
	for first := true; !s.next(closing); first = false {
		if !first && !s.next(',') || !element() {
			return s.malformed()
		}
	}
	if s.skipSpace(); s.at < len(s.raw) {
		return s.malformed()
	}
	return nil
}

func (s *scanner) malformed() error {
	return fault.New(fault.Malformed, "check the program that wrote this text", "the text is not the expected JSON value at byte "+strconv.Itoa(s.at))
}

func (s *scanner) isNull() bool {
	s.skipSpace()
	return string(s.raw[s.at:min(len(s.raw), s.at+len("null"))]) == "null"
}

func (s *scanner) skipSpace() {
	for s.at < len(s.raw) {
		switch s.raw[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// next reads the byte c after white space, and reports whether it is there.
func (s *scanner) next(c byte) bool {
	s.skipSpace()
	if s.at == len(s.raw) || s.raw[s.at] != c {
		return false
	}
	s.at++
	return true
}

// value reads up to the end of a value, and returns it. It is empty if there is none or if it has no end.
func (s *scanner) value() json.RawMessage {
	s.skipSpace()
	start := s.at
	for depth := 0; s.at < len(s.raw); {
		switch c := s.raw[s.at]; {
		case c == '"':
			if !s.skipString() {
				return nil
			}
		case c == '[' || c == '{':
			depth++
			s.at++
		case isDelimiter(c):
			if depth == 0 {
				return nil
			}
			if c == ']' || c == '}' {
				depth--
			}
			s.at++
		default:
			s.skipScalar()
		}
		if depth == 0 {
			return s.raw[start:s.at]
		}
	}
	return nil
}

// isDelimiter reports whether a byte outside of strings belongs to no scalar and begins no value.
func isDelimiter(c byte) bool {
	switch c {
	case ',', ':', ']', '}', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

// skipString reads a string, and reports whether it has an end.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.raw); s.at++ {
		switch s.raw[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// skipScalar reads a number or a literal.
func (s *scanner) skipScalar() {
	for ; s.at < len(s.raw); s.at++ {
		switch c := s.raw[s.at]; {
		case isDelimiter(c), c == '"', c == '[', c == '{':
			return
		}
	}
}
