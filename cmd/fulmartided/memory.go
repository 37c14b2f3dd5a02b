package main

import "runtime/debug"

const (
	// gcPercent lets the heap grow to twice the live heap. With more, the heap of a VM whose callers send much at once grew far beyond the
	// limit while a collection was under way.
	gcPercent = 100
	// memoryFraction is the part of the VM's memory above which the garbage collector runs more often. The program's own pages, about
	// 12 MiB, are not part of what the collector counts.
	memoryFraction = 0.5
)

// setMemoryPolicy configures the garbage collector for a VM with memoryBytes of memory.
func setMemoryPolicy(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(memoryBytes)))
}
