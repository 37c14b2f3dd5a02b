package jsonsplit

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func texts(elements []json.RawMessage) string {
	var out []string
	for _, e := range elements {
		out = append(out, string(e))
	}
	return strings.Join(out, "|")
}

// TestElements guards against an element that encoding/json refuses and that hides its siblings.
func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for _, tc := range []struct {
		raw, want string
		fails     bool
	}{
		{raw: ` [ ] `},
		{raw: `null`},
		{raw: `[1, "a,]\"" ,{"b" : [ 2 ]}, null]`, want: `1|"a,]\""|{"b" : [ 2 ]}|null`},
		{raw: `[1,` + deep + `,2]`, want: `1|` + deep + `|2`},
		{raw: "[{\"a\":1e999},NaN,\"\x01\xff\\x\",2]", want: "{\"a\":1e999}|NaN|\"\x01\xff\\x\"|2"},
		{raw: `[1,]`, fails: true},
		{raw: `[1`, fails: true},
		{raw: `["a]`, fails: true},
		{raw: `[1]2`, fails: true},
		{raw: `[{]`, fails: true},
		{raw: `{}`, fails: true},
		{raw: ``, fails: true},
	} {
		got, err := Elements([]byte(tc.raw))
		if (err != nil) != tc.fails || err == nil && texts(got) != tc.want {
			t.Errorf("elements of %.60q: %.60q, error %v", tc.raw, texts(got), err)
		}
	}
}

// TestMembers guards against members that are taken for others, and against text that is no object.
func TestMembers(t *testing.T) {
	got, err := Members([]byte(`{"a":1, "\u0062" : {"c":"}"},"a":[2]}`))
	if err != nil || len(got) != 2 || string(got["a"]) != "[2]" || string(got["b"]) != `{"c":"}"}` {
		t.Errorf("got %q, error %v", got, err)
	}
	for _, raw := range []string{`{"a":}`, `{"a" 1}`, `{1:2}`, `{"a":1`, `[]`, `null`, `{"a":1,}`} {
		if got, err := Members([]byte(raw)); err == nil {
			t.Errorf("members of %s: %q, want an error", raw, got)
		}
	}
}

// TestElementsOfValidText compares the elements with those of encoding/json.
func TestElementsOfValidText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOf(rapid.OneOf(
			rapid.String().AsAny(), rapid.Float64Range(-1e9, 1e9).AsAny(), rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).AsAny(),
		)).Draw(t, "values")
		raw, err := json.MarshalIndent(values, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		var want []json.RawMessage
		if err := json.Unmarshal(raw, &want); err != nil {
			t.Fatal(err)
		}
		if got, err := Elements(raw); err != nil || texts(got) != texts(want) {
			t.Errorf("elements of %s: %s, error %v", raw, texts(got), err)
		}
	})
}

// FuzzSplit guards against text that makes the scanner panic or loop.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`[{"a":"\\"},[1,{}],null]`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = Elements(raw)
		_, _ = Members(raw)
	})
}
