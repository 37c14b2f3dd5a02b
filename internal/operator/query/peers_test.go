package query_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/operator/api"
	"github.com/fulmartide/fulmartide/internal/operator/query"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testVM is a VM that owns one cell with one endpoint, which is named after the VM.
type testVM struct {
	query.Configuration

	member    membership.Member
	members   []membership.Member
	transport *peer.Transport
	client    *api.Client
}

func (v *testVM) View() *membership.View {
	return &membership.View{Self: v.member, Members: v.members}
}
func (*testVM) ReportUnreachable(ident.VM) {}

func (v *testVM) Current() *configuration.Snapshot {
	doc := configuration.Document{Endpoints: map[string]configuration.Endpoint{}}
	for _, m := range v.members {
		doc.Endpoints["at-"+m.VM.Name] = configuration.Endpoint{Slots: 20}
	}
	return &configuration.Snapshot{Version: 3, Document: doc}
}

func (v *testVM) Summary() []placement.EndpointStatus {
	return []placement.EndpointStatus{{Endpoint: "at-" + v.member.VM.Name, Running: int(v.member.VM.Incarnation)}}
}

func (v *testVM) Trace(id string) ([]query.Event, bool) {
	if id != (ident.RequestID{VM: v.member.VM, Seq: 5}).String() {
		return nil, false
	}
	return []query.Event{{At: time.Unix(5, 0).UTC(), Stage: "relay", Message: "by " + v.member.VM.Name, Fields: map[string]string{"a": "b"}}}, true
}

func startFleet(t *testing.T, n int) []*testVM {
	t.Helper()
	fleet := make([]*testVM, n)
	var members []membership.Member
	for i := range fleet {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v := &testVM{}
		v.member = membership.Member{
			VM:          ident.VM{Name: fmt.Sprint("vm-", i), Incarnation: ident.Incarnation(10 + i)},
			PeerAddress: netip.MustParseAddrPort(ln.Addr().String()),
			State:       membership.Alive,
		}
		v.transport = peer.New(peer.Options{Self: v.member.VM})
		server := httptest.NewServer(query.NewHandler(query.Deps{
			Self: v.member, Directory: v, Configuration: v, Placement: v, Traces: v, Transport: v.transport,
		}))
		go func() { _ = v.transport.Serve(ln) }()
		v.client = api.NewClient([]netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}, 5*time.Second)
		t.Cleanup(func() { v.client.Close(); server.Close(); v.transport.Close() })
		members = append(members, v.member)
		fleet[i] = v
	}
	for _, v := range fleet {
		v.members = members
	}
	return fleet
}

func TestExplainQueriesTheServingVM(t *testing.T) {
	fleet := startFleet(t, 2)
	for _, queried := range fleet {
		for _, serving := range fleet {
			id := ident.RequestID{VM: serving.member.VM, Seq: 5}
			got, err := queried.client.Explain(t.Context(), id.String())
			if err != nil || len(got.Events) != 1 {
				t.Fatal(got, err)
			}
			e := got.Events[0]
			if e.Message != "by "+serving.member.VM.Name || !e.At.Equal(time.Unix(5, 0)) || e.Fields["a"] != "b" {
				t.Fatalf("%+v", e)
			}
			id.Seq = 6
			if _, err := queried.client.Explain(t.Context(), id.String()); !fault.Is(err, fault.NotFound) {
				t.Fatal(err)
			}
		}
	}
	fleet[1].transport.Close()
	id := ident.RequestID{VM: fleet[1].member.VM, Seq: 5}
	if _, err := fleet[0].client.Explain(t.Context(), id.String()); !fault.Is(err, fault.Unavailable) {
		t.Fatal(err)
	}
}

func TestEndpointLoadIsCollectedFromAllVMs(t *testing.T) {
	fleet := startFleet(t, 4)
	fleet[3].transport.Close()
	got, err := fleet[0].client.Endpoints(t.Context())
	if err != nil || got.Version != 3 || len(got.Endpoints) != 4 || !slices.Equal(got.Unresponsive, []string{"vm-3"}) {
		t.Fatalf("%+v, %v", got, err)
	}
	for i, e := range got.Endpoints[:3] {
		if e.Load == nil || e.Load.Running != 10+i {
			t.Fatalf("%+v", e)
		}
	}
	if got.Endpoints[3].Load != nil {
		t.Fatal("the load of an endpoint owned by an unresponsive VM is set")
	}
}
