package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/fulmartide/fulmartide/internal/configuration"
)

// writeChanges writes one line for each added (+), removed (-) or changed (~) object, followed by one
// line for each of its fields that differs.
func writeChanges(w io.Writer, changes []configuration.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no changes")
	}
	for _, c := range changes {
		fmt.Fprintln(w, changeSign(c), c.Object)
		writeFields(w, decodeFields(c.Before), decodeFields(c.After))
	}
}

func changeSign(c configuration.Change) string {
	switch {
	case c.Before == "":
		return "+"
	case c.After == "":
		return "-"
	}
	return "~"
}

func decodeFields(raw string) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	if raw != "" {
		_ = json.Unmarshal([]byte(raw), &fields)
	}
	return fields
}

func writeFields(w io.Writer, before, after map[string]json.RawMessage) {
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		b, hadBefore := before[name]
		a, hasAfter := after[name]
		switch {
		case !hadBefore:
			fmt.Fprintf(w, "    %s: %s\n", name, a)
		case !hasAfter:
			fmt.Fprintf(w, "    %s: %s\n", name, b)
		case string(a) != string(b):
			fmt.Fprintf(w, "    %s: %s -> %s\n", name, b, a)
		}
	}
}
