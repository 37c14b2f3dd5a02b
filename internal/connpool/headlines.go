package connpool

import "bytes"

// maxHeaderLines is the number of lines of a response header after which no more of it is read. A parsed line takes more than 100 bytes, so that a header of short
// lines would take twenty times its size.
const maxHeaderLines = 1000

// headLines counts the lines of a header as its bytes arrive. What follows the header is not counted.
type headLines struct {
	lines int
	// inLine is set if the current line holds anything, ended once an empty line has ended the header.
	inLine, ended bool
}

// add counts the lines in p.
func (h *headLines) add(p []byte) {
	for len(p) > 0 && !h.ended {
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		h.inLine = h.inLine || len(bytes.TrimSuffix(line, []byte("\r"))) > 0
		p = rest
		if complete {
			h.lines++
			h.ended, h.inLine = !h.inLine, false
		}
	}
}

// tooMany reports whether the header has more than maxHeaderLines lines.
func (h *headLines) tooMany() bool { return h.lines > maxHeaderLines }
