// Package keys maps the hash of an API key to its workspace and rejects withdrawn keys. Secrets are
// never stored. A withdrawal is permanent and takes precedence over any version of the key list.
//
// The set of withdrawals only grows, and writing a withdrawal to the platform is idempotent. It is
// therefore safe for several VMs to distribute or store the same withdrawal, or to watch the key
// list at the same time.
package keys

import (
	"crypto/sha256"
	"encoding/hex"
)

// Hash is the hex-encoded SHA-256 hash of a key's secret. Only the hash is stored and distributed.
type Hash string

// HashSecret returns the hash of a secret.
func HashSecret(secret string) Hash {
	sum := sha256.Sum256([]byte(secret))
	return Hash(hex.EncodeToString(sum[:]))
}

// Identity contains the ID of an authenticated key and the workspace to which it belongs.
type Identity struct {
	KeyID     string
	Workspace string
}

// Authenticator authenticates keys for the API server.
type Authenticator interface {
	// Identify returns the identity of a key. It fails with Unauthenticated if the key is invalid.
	Identify(h Hash) (Identity, error)
	// OnWithdrawal calls onWithdrawn once if the key is withdrawn before unregister is called.
	OnWithdrawal(keyID string, onWithdrawn func()) (unregister func())
}
