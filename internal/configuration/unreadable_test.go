package configuration

import (
	"slices"
	"strings"
	"testing"
)

// TestUnreadableObjectHidesNoOther guards against an object of the stored document that cannot be read and that keeps the
// whole former configuration in force.
func TestUnreadableObjectHidesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 12000) + strings.Repeat("]", 12000)
	entries, err := DecodeEntries([]byte(`{"plans":{"p":{"burst_tokens":5},"odd":{"burst_tokens":"many"},"deep":` + deep + `},
		"workspaces":{"w":{"plan":"p"}},"routes":null,"later":{"a":1},"revisions":[{"base":1,"nonce":"n"},5]}`))
	if err != nil {
		t.Fatal(err)
	}
	doc, unreadable := fromEntries(entries)
	if _, err := FromEntries(entries); err == nil {
		t.Error("the error does not tell of objects that cannot be read")
	}
	if doc.Plans["p"].BurstTokens != 5 || len(doc.Plans) != 1 || doc.Workspaces["w"].Plan != "p" || !slices.Equal(unreadable, []string{"plans/deep", "plans/odd"}) {
		t.Errorf("plans %v, workspaces %v, unreadable %v", doc.Plans, doc.Workspaces, unreadable)
	}
	if entries["plans/odd"] != `{"burst_tokens":"many"}` {
		t.Errorf("other VMs are sent %q", entries["plans/odd"])
	}
	st, err := decodeStoredDocument([]byte(`{"revisions":[5,{"base":1,"nonce":"n"}]}`))
	if err != nil || len(st.Revisions) != 1 || st.Revisions[0].Nonce != "n" {
		t.Errorf("revisions %v, error %v", st.Revisions, err)
	}
	if _, err := DecodeEntries([]byte(`{"plans":[]}`)); err == nil {
		t.Error("a section that is no object was read")
	}
}
