package objectstore_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// TestUnreadableElementOfAListHidesNoOther guards against an object or VM that cannot be read and that hides the others,
// and against a response without a list that is taken for an empty list: all VMs would count as gone.
func TestUnreadableElementOfAListHidesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 12000) + strings.Repeat("]", 12000)
	bodies := map[string]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(bodies[r.URL.Path]))
	}))
	defer server.Close()
	c := objectstore.NewHTTPClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), time.Second)
	defer c.Close()
	for _, odd := range []string{deep, `{"name":5,"version":"x"}`, `"text"`, `{"name":"m","value":"no base64!","address":"nowhere"}`} {
		bodies["/objects"] = `{"objects":[{"name":"a","version":1},` + odd + `,{"name":"z","version":2}]}`
		bodies["/vms"] = `{"vms":[{"name":"a","address":"127.0.0.1:1"},` + odd + `,{"name":"z","address":"127.0.0.1:2"}]}`
		if objects, err := c.List(t.Context(), ""); err != nil || len(objects) != 2 || objects[1].Name != "z" {
			t.Errorf("beside %.40s: objects %v, error %v", odd, objects, err)
		}
		if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 2 || vms[1].Name != "z" {
			t.Errorf("beside %.40s: VMs %v, error %v", odd, vms, err)
		}
	}
	bodies["/objects"], bodies["/vms"] = `{}`, `{}`
	if objects, err := c.List(t.Context(), ""); !fault.Is(err, fault.Unavailable) {
		t.Errorf("a response without a list: objects %v, error %v", objects, err)
	}
	if vms, err := c.VMs(t.Context()); !fault.Is(err, fault.Unavailable) {
		t.Errorf("a response without a list: VMs %v, error %v", vms, err)
	}
	bodies["/vms"] = `{"vms":[]}`
	if vms, err := c.VMs(t.Context()); err != nil || len(vms) > 0 {
		t.Errorf("an empty list: VMs %v, error %v", vms, err)
	}
}
