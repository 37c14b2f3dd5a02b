package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

const (
	// ShardCount is the number of shards that keys are distributed over.
	ShardCount = 8
	// PageWindow is the range of issue times covered by one page.
	PageWindow = 10 * time.Second
	// Retention is the period after its issue time for which a key is stored.
	Retention = time.Hour
	// MaxClockSkew is the maximum clock difference between callers and VMs.
	MaxClockSkew = time.Minute
	// ringPages is the number of pages per shard. It covers the retention period plus clock skew
	// before and after it.
	ringPages = int64((Retention + 4*MaxClockSkew) / PageWindow)
)

const keyHashBytes = 16

// keyHash identifies the key of a workspace within a page.
type keyHash [keyHashBytes]byte

// location identifies the page and the record of a key.
type location struct {
	hash     keyHash
	shard    int
	window   int64
	issuedAt time.Time
}

func locate(workspace, key string) (location, error) {
	raw, err := parseKey(key)
	if err != nil {
		return location{}, err
	}
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write(raw[:])
	sum := h.Sum(nil)
	millis := int64(binary.BigEndian.Uint64(raw[:8]) >> 16)
	p := location{
		shard:    int(sum[keyHashBytes]) % ShardCount,
		window:   millis / PageWindow.Milliseconds(),
		issuedAt: time.UnixMilli(millis),
	}
	copy(p.hash[:], sum)
	return p, nil
}

const (
	uuidBytes      = 16
	uuidTextLength = 36
	uuidVersion    = 7
	uuidVariant    = 0b10
)

// parseKey parses a version 7 UUID in text form.
func parseKey(key string) ([uuidBytes]byte, error) {
	var raw [uuidBytes]byte
	if len(key) != uuidTextLength {
		return raw, malformedKeyError("length must be 36 characters")
	}
	for _, i := range []int{8, 13, 18, 23} {
		if key[i] != '-' {
			return raw, malformedKeyError("hyphens must separate groups of 8-4-4-4-12 digits")
		}
	}
	digits := key[:8] + key[9:13] + key[14:18] + key[19:23] + key[24:]
	if _, err := hex.Decode(raw[:], []byte(digits)); err != nil {
		return raw, malformedKeyError("invalid hexadecimal digit")
	}
	if raw[6]>>4 != uuidVersion || raw[8]>>6 != uuidVariant {
		return raw, malformedKeyError("not a version 7 UUID")
	}
	return raw, nil
}

func malformedKeyError(reason string) error {
	return fault.New(fault.Malformed, "send a new version 7 UUID (RFC 9562) as Idempotency-Key", "invalid Idempotency-Key: "+reason)
}

// checkAge rejects a key whose page may have been reused for a later window, or whose issue time
// is in the future.
func checkAge(issuedAt, wall time.Time) error {
	age := wall.Sub(issuedAt)
	if age > Retention-MaxClockSkew {
		return errTooOld
	}
	if age < -MaxClockSkew {
		return fault.New(fault.Expired, "correct the caller's clock and create a new key", "the timestamp of the Idempotency-Key is in the future; this call did not run the commit", fault.WithExecution(fault.ExecutionUnknown))
	}
	return nil
}

var errTooOld = fault.New(fault.Expired, "check with the service whether the commit ran; create a new key only if it did not", "the Idempotency-Key is older than the retention period of the ledger; this call did not run the commit", fault.WithExecution(fault.ExecutionUnknown))

// objectName returns the object name of a page. Windows that differ by a multiple of ringPages
// share an object.
func objectName(shard int, window int64) string {
	slot := ((window % ringPages) + ringPages) % ringPages
	return strings.Join([]string{"ledger", strconv.Itoa(shard), strconv.FormatInt(slot, 10)}, "/")
}
