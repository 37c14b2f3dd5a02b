package replication

// Op is the operation of a Message.
type Op uint8

// The operations between replicas. Services that share the message kind define their own
// operations from OpService on.
const (
	// OpPush carries a delta; the reply carries the receiver's resulting version.
	OpPush Op = 1
	// OpRelay is OpPush to a VM that also pushes the delta to its data centre.
	OpRelay Op = 2
	// OpPull requests the changes since Version; the reply carries a delta, a table or neither.
	OpPull Op = 3
	// OpVersion requests the current version.
	OpVersion Op = 4
	// OpService is the first operation of the service that owns the replica.
	OpService Op = 16
)

// Message is a request or reply between two replicas of an object.
type Message struct {
	Op      Op     `msgpack:"o,omitempty"`
	Version uint64 `msgpack:"v,omitempty"`
	// Delta and Table are encoded by EncodeDelta and EncodeTable.
	Delta []byte `msgpack:"d,omitempty"`
	Table []byte `msgpack:"t,omitempty"`
	// Names and Unconfirmed carry parameters and results of a service's own operations. In the
	// reply to OpPull, Names carries the names that the service adds (Options.AttachedNames).
	Names       []string `msgpack:"n,omitempty"`
	Unconfirmed []string `msgpack:"x,omitempty"`
}
