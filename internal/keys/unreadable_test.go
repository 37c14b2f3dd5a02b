package keys

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestUnreadableKeyHidesNoOther guards against an entry of the key list that cannot be read and that keeps withdrawn keys
// valid, and against the loss of such an entry when the list is written.
func TestUnreadableKeyHidesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 12000) + strings.Repeat("]", 12000)
	l, err := decodeKeyList([]byte(`{"keys":{"a":{"hash":"h","withdrawn":true},"odd":{"hash":["h"]},"deep":` + deep + `,"z":{"hash":"i","workspace":"w"}}}`))
	if err != nil || len(l.Keys) != 2 || !l.Keys["a"].Withdrawn || l.Keys["z"].Workspace != "w" {
		t.Fatalf("keys %v, error %v", l.Keys, err)
	}
	raw, err := json.Marshal(l)
	if err != nil || !strings.Contains(string(raw), `"odd":{"hash":["h"]}`) {
		t.Errorf("written back as %s, error %v", raw, err)
	}
	if again, err := decodeKeyList(raw); err != nil || len(again.Keys) != 2 || len(again.unreadable) != 1 {
		t.Errorf("read again as %+v, error %v", again, err)
	}
}

// TestAbsentKeyListIsNotAnEmptyOne guards against an object without a key list that withdraws all keys.
func TestAbsentKeyListIsNotAnEmptyOne(t *testing.T) {
	for raw, fails := range map[string]bool{`{"keys":{}}`: false, `{}`: true, `{"keys":null}`: true, `[]`: true} {
		if l, err := decodeKeyList([]byte(raw)); (err != nil) != fails || len(l.Keys) > 0 {
			t.Errorf("%s: keys %v, error %v", raw, l.Keys, err)
		}
	}
}
