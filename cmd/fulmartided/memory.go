package main

import "runtime/debug"

const (
	// gcPercent lets the heap grow to five times the live heap. The live heap is only a few MiB, so
	// more frequent collections would cost more CPU time than the memory is worth.
	gcPercent = 400
	// memoryLimit makes the garbage collector run more often before the 64 MiB of a VM are used up.
	memoryLimit = 48 << 20
)

func setMemoryPolicy() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}
