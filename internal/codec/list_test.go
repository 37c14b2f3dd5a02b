package codec

import (
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

type pair struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name  string
	Count int
}

// TestUnreadableElementHidesNoOther guards against an element of a list from another build that makes the whole message
// unreadable.
func TestUnreadableElementHidesNoOther(t *testing.T) {
	raw, err := msgpack.Marshal([]any{
		[]any{"a", 1},
		[]any{"longer", 1, 2},
		[]any{[]any{"name of another type"}, 1},
		"text",
		nil,
		[]any{"z", 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	var got List[pair]
	if err := Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	got = slices.DeleteFunc(got, func(p pair) bool { return p == pair{} }) // null is a value without content
	if want := (List[pair]{{Name: "a", Count: 1}, {Name: "z", Count: 2}}); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestListIsEncodedLikeASlice guards against a form that builds without List cannot read.
func TestListIsEncodedLikeASlice(t *testing.T) {
	for _, pairs := range [][]pair{nil, {}, {{Name: "a", Count: 1}}} {
		want, err := msgpack.Marshal(pairs)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := msgpack.Marshal(List[pair](pairs)); err != nil || !slices.Equal(got, want) {
			t.Errorf("got %x, want %x, error %v", got, want, err)
		}
		var decoded List[pair]
		if err := Unmarshal(want, &decoded); err != nil || len(decoded) != len(pairs) {
			t.Errorf("got %+v of %x, error %v", decoded, want, err)
		}
	}
}
