package admission

// CountOf says what a Count is of.
type CountOf uint8

// What VMs count and tell each other.
const (
	// Tokens that were admitted for a workspace.
	Tokens CountOf = iota
	// Calls of callers to a service.
	Calls
	// Extra sends to a service.
	Extra
)

// Count names what a VM counts from its start on.
type Count struct {
	Of CountOf
	// Name is that of the workspace or service.
	Name string
}
