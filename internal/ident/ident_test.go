package ident_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/ident"
)

func TestRequestIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := ident.RequestID{
			VM:  ident.VM{Name: rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`).Draw(t, "name"), Incarnation: ident.Incarnation(rapid.Uint64().Draw(t, "incarnation"))},
			Seq: rapid.Uint64().Draw(t, "seq"),
		}
		got, err := ident.ParseRequestID(want.String())
		if err != nil || got != want {
			t.Fatalf("got %+v, error %v", got, err)
		}
	})
}

func FuzzParseRequestID(f *testing.F) {
	f.Add("r.vm.1.1")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ident.ParseRequestID(s)
		if err != nil {
			return
		}
		again, err := ident.ParseRequestID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q parsed as %+v, its String as %+v, error %v", s, id, again, err)
		}
	})
}
