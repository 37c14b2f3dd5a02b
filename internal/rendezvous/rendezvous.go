// Package rendezvous computes the weights of rendezvous hashing: all VMs find the same owners of a key, without
// messages, as those with the highest weights for it. A VM that comes or goes changes only the keys that it owns.
package rendezvous

import "hash/fnv"

// Hash returns the hash of a name, well distributed also for names that differ little.
func Hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64())
}

// Weight returns the weight of a member, given by its Hash, for a key.
func Weight(key, member uint64) uint64 { return Mix(key ^ member) }

// Mix is the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
