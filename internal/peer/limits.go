package peer

// Limits bound what other VMs, and strangers that reach the address for other VMs, make this process hold.
type Limits struct {
	// Connections is the maximum number of accepted connections, PerAddress that of those from one remote address.
	Connections, PerAddress int
	// FrameBytes is the memory for frames that are read, handled or answered.
	FrameBytes int
}

const (
	// bytesPerConnection is the part of the memory of a process for each connection that it may accept. 768 connections took 17 MiB,
	// and 30 MiB with TLS, so that one takes up to two thirds of it.
	bytesPerConnection = 64 << 10
	// frameFraction is the part of the memory of a process that frames may take, as its inverse.
	frameFraction = 8
	// peersFraction is the part of the connections that others may open, for those of other VMs, as its inverse.
	peersFraction = 2
	// minConnections is the maximum number of connections of a process with little memory.
	minConnections = 32
)

// LimitsFor returns the limits of a process with memoryBytes of memory to which others may open the given number of connections. A fleet of 400
// VMs needs 399 connections and 128 streams at each VM, and as many again for a moment while VMs are replaced; 64 MiB allow
// 1,024 if there are 4,096 descriptors. Fleets behind one address, as in tests, stay within three quarters of them.
func LimitsFor(memoryBytes int64, connections int) Limits {
	connections = max(minConnections, min(int(memoryBytes/bytesPerConnection), connections/peersFraction))
	return Limits{Connections: connections, PerAddress: connections * 3 / 4, FrameBytes: max(2*MaxFrameBytes, int(memoryBytes/frameFraction))}
}

// defaultMemoryBytes is assumed where the memory of the process is not known.
const defaultMemoryBytes = 64 << 20
