// Package ident defines identifiers of daemon processes and requests. They appear in messages, log
// lines and engine allocations, so each of these can be traced to the process that caused it.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation distinguishes successive starts of the daemon on one VM. It is the start time of the
// process in nanoseconds since the Unix epoch, so a later start has a higher incarnation.
type Incarnation uint64

// VM identifies one incarnation of the daemon on a VM.
type VM struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Name is the VM's name from its settings. It is unique in the fleet.
	Name string `json:"name"`
	// Incarnation distinguishes this process from earlier ones with the same name.
	Incarnation Incarnation `json:"incarnation"`
}

// String returns NAME/INCARNATION with the incarnation in base 36, the form used in log lines.
func (v VM) String() string {
	return v.Name + "/" + strconv.FormatUint(uint64(v.Incarnation), 36)
}

// IsZero reports whether v is the zero value.
func (v VM) IsZero() bool { return v == VM{} }

// RequestID identifies an admitted request. It is unique across the fleet and across restarts.
type RequestID struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// VM is the daemon incarnation that admitted the request and is responsible for it.
	VM VM
	// Seq is the request's sequence number within that incarnation, starting at 1.
	Seq uint64
}

const requestPrefix = "r"

// String returns r.NAME.INCARNATION.SEQ with the numbers in base 36.
func (r RequestID) String() string {
	inc := strconv.FormatUint(uint64(r.VM.Incarnation), 36)
	seq := strconv.FormatUint(r.Seq, 36)
	return strings.Join([]string{requestPrefix, r.VM.Name, inc, seq}, ".")
}

// ParseRequestID parses the output of RequestID.String. VM names must not contain dots.
func ParseRequestID(s string) (RequestID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] != requestPrefix || parts[1] == "" {
		return RequestID{}, fmt.Errorf("request id %q: want r.NAME.INCARNATION.SEQ", s)
	}
	inc, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return RequestID{}, fmt.Errorf("request id %q: incarnation: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[3], 36, 64)
	if err != nil {
		return RequestID{}, fmt.Errorf("request id %q: sequence: %w", s, err)
	}
	vm := VM{Name: parts[1], Incarnation: Incarnation(inc)}
	return RequestID{VM: vm, Seq: seq}, nil
}
