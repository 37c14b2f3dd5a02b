// Package ident names processes and requests so that every message, log line and
// piece of engine memory can be traced to the one process life that caused it.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation numbers one life of a process on a VM. A later life has a higher number.
// Its unit is nanoseconds since the Unix epoch at process start.
type Incarnation uint64

// VM names one life of the daemon on one VM.
type VM struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Name is the VM's name from its settings, unique in the fleet.
	Name string `json:"name"`
	// Incarnation tells this life from earlier ones under the same name.
	Incarnation Incarnation `json:"incarnation"`
}

// String gives name/incarnation, as log lines show it.
func (v VM) String() string {
	return v.Name + "/" + strconv.FormatUint(uint64(v.Incarnation), 36)
}

// IsZero reports whether v names nothing.
func (v VM) IsZero() bool { return v == VM{} }

// RequestID names one admitted request. It is unique over the fleet and over restarts.
type RequestID struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// VM is the process life that admitted the request and speaks for it.
	VM VM
	// Seq counts the requests of that life from 1.
	Seq uint64
}

const requestPrefix = "r"

// String gives the form r.NAME.INCARNATION.SEQ with numbers in base 36.
func (r RequestID) String() string {
	inc := strconv.FormatUint(uint64(r.VM.Incarnation), 36)
	seq := strconv.FormatUint(r.Seq, 36)
	return strings.Join([]string{requestPrefix, r.VM.Name, inc, seq}, ".")
}

// ParseRequestID reads the form that String gives. VM names hold no dots.
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
