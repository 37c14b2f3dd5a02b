package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// print writes value as JSON, or calls text with a writer that aligns tab-separated columns.
func (s *session) print(value any, text func(w io.Writer)) error {
	if s.json {
		enc := json.NewEncoder(s.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	const minWidth, tabWidth, padding = 0, 8, 2
	w := tabwriter.NewWriter(s.Out, minWidth, tabWidth, padding, ' ', 0)
	text(w)
	return w.Flush()
}

// writeRow writes tab-separated cells on one line; empty cells are written as "-".
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// joinNames joins all with commas. It returns "none" for an empty list.
func joinNames(all []string) string {
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, ", ")
}

// formatFields formats fields as space-separated key=value pairs, sorted by key. It quotes values that
// are empty or contain whitespace, quotes or "=".
func formatFields(fields map[string]string) string {
	out := make([]string, 0, len(fields))
	for k, v := range fields {
		if v == "" || strings.ContainsAny(v, " \t\n\"=") {
			v = fmt.Sprintf("%q", v)
		}
		out = append(out, k+"="+v)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
