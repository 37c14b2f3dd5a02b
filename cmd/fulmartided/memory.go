package main

import "runtime/debug"

const (
	// gcPercent lets the heap grow to five times what lives, which is a few MiB: collecting
	// more often costs more processor time than the memory is worth.
	gcPercent = 400
	// softMemoryLimit makes collections more frequent before a node's 64 MiB are used up.
	softMemoryLimit = 48 << 20
)

func setMemoryPolicy() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(softMemoryLimit)
}
