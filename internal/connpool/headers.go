package connpool

import (
	"net/http"
	"strings"
)

// hopByHop holds headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd gives the headers that go on from one connection to another: without those that
// concern one connection, by their name or as a Connection header lists them.
func EndToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
