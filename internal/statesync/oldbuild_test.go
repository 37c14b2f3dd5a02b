package statesync

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestOldBuildReadsMessages guards against a new element of a message that VMs of the previous build read: the codec
// rejects arrays of another length, so they would drop the whole message. The lengths are those of revision 24a94ca; -1
// is a map, which may have new fields. What is new goes into a message of its own kind, or follows as a second value.
func TestOldBuildReadsMessages(t *testing.T) {
	for _, tc := range []struct {
		message any
		length  int
	}{
		{&Member{}, 3},
		{&endpointWork{}, 3},
		{&counter{}, 3},
		{&usage{}, 2},
		{&heartbeat{}, 10},
		{&endpointLimit{}, 3},
		{&digest{}, 8},
		{&update{}, 5},
		{&failure{}, 3},
		{&documentRequest{}, 2},
		{&documentResponse{}, 3},
		{&windowRequest{}, 1},
		{&windowResponse{}, 5},
		{&quarantineRequest{}, -1},
		{&originRecords{}, 1},
		{&originQuery{}, 1},
		{&originReply{}, 2},
		{&originStateQuery{}, -1},
		{&retryRequest{}, 2},
		{&retryGrant{}, 1},
		{&ident.VM{}, 2},
		{&schedule.Work{}, 2},
		{&schedule.Limit{}, 3},
		{&admission.WindowState{}, -1},
		{&admission.DataCentreReport{}, -1},
		{&origin.Record{}, 3},
		{&origin.Sighting{}, 3},
		{&origin.State{}, 3},
		{&quarantine.Record{}, 6},
		{&quarantine.Starts{}, 2},
		{&quarantine.State{}, 2},
		{&traffic.DocumentVersion{}, 2},
		{&traffic.EndpointID{}, -1},
		{&traffic.StreamOrigin{}, 2},
	} {
		raw, err := msgpack.Marshal(tc.message)
		if err != nil {
			t.Fatal(err)
		}
		length := -1
		if raw[0]&0xf0 != 0x80 {
			if length, err = msgpack.NewDecoder(bytes.NewReader(raw)).DecodeArrayLen(); err != nil {
				t.Fatalf("%T: %v", tc.message, err)
			}
		}
		if length != tc.length {
			t.Errorf("%T has %d elements, the previous build expects %d", tc.message, length, tc.length)
		}
	}
}
