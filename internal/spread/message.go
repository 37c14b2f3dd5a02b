package spread

// Op tells what a Message asks for.
type Op uint8

// The operations of a replica. Services that share the kind use their own from OpService on.
const (
	// OpPush carries a delta; the reply states the version then held.
	OpPush Op = 1
	// OpRelay is OpPush to a VM that passes the delta on to its data centre.
	OpRelay Op = 2
	// OpPull asks for what is later than Version; the reply carries a delta, a table or neither.
	OpPull Op = 3
	// OpAsk asks for the version held.
	OpAsk Op = 4
	// OpService is the first operation of the service that owns the replica.
	OpService Op = 16
)

// Message is a request or a reply between two replicas of one object.
type Message struct {
	Op      Op     `msgpack:"o,omitempty"`
	Version uint64 `msgpack:"v,omitempty"`
	// Delta and Table are encoded by EncodeDelta and EncodeTable.
	Delta []byte `msgpack:"d,omitempty"`
	Table []byte `msgpack:"t,omitempty"`
	// Names and Others carry what the operations of a service need.
	Names  []string `msgpack:"n,omitempty"`
	Others []string `msgpack:"x,omitempty"`
}
