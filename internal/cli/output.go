package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// print writes value as JSON, or what text writes, with tabs aligned.
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

// row writes the cells of one line.
func row(w io.Writer, cells ...any) {
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

// names joins names, or says none.
func names(all []string) string {
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, ", ")
}

// pairs writes fields as key=value, sorted by key.
func pairs(fields map[string]string) string {
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
