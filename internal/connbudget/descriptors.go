package connbudget

import (
	"math"

	"golang.org/x/sys/unix"
)

// descriptorShare is the part of the descriptors, as its inverse, that connections opened by others may use. The rest is for the connections
// that this process opens to serve their requests, its listeners and its files.
const descriptorShare = 2

// Connections returns the number of connections that others may open to a process with a limit of descriptors (RLIMIT_NOFILE, and most if
// it is positive).
func Connections(most int) int {
	limit := uint64(math.MaxInt32)
	if most > 0 {
		limit = uint64(most)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		limit = min(limit, files.Cur)
	}
	return max(1, int(limit/descriptorShare))
}
