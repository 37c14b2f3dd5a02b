package admission

// CounterKind is the kind of a counter.
type CounterKind uint8

// The counters that VMs exchange.
const (
	// AdmittedTokens counts the tokens admitted for a workspace.
	AdmittedTokens CounterKind = iota
	// ServiceCalls counts callers' calls to a service.
	ServiceCalls
	// ServiceRetries counts retries to a service.
	ServiceRetries
)

// CounterKey identifies a counter that a VM keeps from its start.
type CounterKey struct {
	Kind CounterKind
	// Name is the name of the workspace or service.
	Name string
}
