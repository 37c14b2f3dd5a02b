package admission

// CounterKind is the kind of a counter.
type CounterKind uint8

// The counters that VMs exchange.
const (
	// AdmittedTokens counts the tokens admitted for a workspace.
	AdmittedTokens CounterKind = iota
	// ServiceCalls counts callers' calls to a service. Only VMs of former builds tell it.
	ServiceCalls
	// ServiceRetries counts retries to a service. This build tells it only for VMs of former builds; see Retries.ownTotals.
	ServiceRetries
	// RankedCalls counts the calls of a class, while the calls to its service have different ranks. The name is that of an
	// overload.Class. VMs of older builds ignore it.
	RankedCalls
)

// CounterKey identifies a counter that a VM keeps from its start.
type CounterKey struct {
	Kind CounterKind
	// Name is the name of the workspace, service or class.
	Name string
}
