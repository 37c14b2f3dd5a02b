package admission

// CountOf is the kind of a counter.
type CountOf uint8

// The counters that VMs exchange.
const (
	// Tokens counts the tokens admitted for a workspace.
	Tokens CountOf = iota
	// Calls counts callers' calls to a service.
	Calls
	// Extra counts retries to a service.
	Extra
)

// Count identifies a counter that a VM keeps from its start.
type Count struct {
	Of CountOf
	// Name is the name of the workspace or service.
	Name string
}
