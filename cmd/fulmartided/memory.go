package main

import "runtime/debug"

const (
	// gcPercent lets the heap grow to five times the live heap. The live heap is only a few MiB, so
	// more frequent collections would cost more CPU time than the memory is worth.
	gcPercent = 400
	// memoryFraction is the part of the VM's memory above which the garbage collector runs more often. The program's own pages, about
	// 12 MiB, are not part of what the collector counts.
	memoryFraction = 0.6
)

// setMemoryPolicy configures the garbage collector for a VM with memoryBytes of memory.
func setMemoryPolicy(memoryBytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * float64(memoryBytes)))
}
