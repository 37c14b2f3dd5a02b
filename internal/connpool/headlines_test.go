package connpool

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against response headers of short lines, which take many times their size once they are parsed.
func TestHeaderOfManyLinesIsNotRead(t *testing.T) {
	for _, lines := range []int{maxHeaderLines - 10, 2 * maxHeaderLines} {
		var text strings.Builder
		text.WriteString("HTTP/1.1 200 OK\r\n")
		for i := range lines {
			fmt.Fprintf(&text, "x%x:\r\n", i)
		}
		text.WriteString("\r\n" + strings.Repeat("\n", 2*maxHeaderLines))
		in := &limitedReader{r: strings.NewReader(text.String()), remaining: maxHeaderBytes}
		_, err := http.ReadResponse(bufio.NewReaderSize(in, readBufferSize), nil)
		if read := err == nil; read != (lines < maxHeaderLines) {
			t.Errorf("%d lines: read %v, error %v", lines, read, err)
		}
	}
}
