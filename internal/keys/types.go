// Package keys maps the hash of a caller's key to its workspace and stops withdrawn keys.
// The secret itself is never stored. A withdrawal wins over everything, for good.
//
// Withdrawals are a set that only grows, and writing one to the platform is idempotent. So two
// VMs that both spread or both store a withdrawal are harmless, as are two that watch the list.
package keys

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is the SHA-256 of a key's secret in hex. Only the hash is stored and shared.
type Hash string

// HashSecret gives the hash of a secret.
func HashSecret(secret string) Hash {
	sum := sha256.Sum256([]byte(secret))
	return Hash(hex.EncodeToString(sum[:]))
}

// Identity is what a key stands for.
type Identity struct {
	KeyID     string
	Workspace string
}

// Ring tells keys apart for the caller interface.
type Ring interface {
	// Identify gives the identity of a key, or fails as Unauthenticated.
	Identify(h Hash) (Identity, error)
	// Attach calls cut once if the key is withdrawn before detach is called.
	Attach(keyID string, cut func()) (detach func())
}
