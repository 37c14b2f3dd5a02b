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
	// ShardCount is the number of shards that keys are spread over.
	ShardCount = 8
	// Window is the span of issue times that share a page.
	Window = 10 * time.Second
	// Retention is how long after its issue a key is remembered.
	Retention = time.Hour
	// SkewMargin is how far the clocks of callers and VMs may differ.
	SkewMargin = time.Minute
	// ringPages is the number of pages of a shard: the retention and a margin on both sides.
	ringPages = int64((Retention + 4*SkewMargin) / Window)
)

const keyHashBytes = 16

// keyHash names a workspace's key inside a page.
type keyHash [keyHashBytes]byte

// place is where the record of a key belongs.
type place struct {
	hash   keyHash
	shard  int
	window int64
	issued time.Time
}

func locate(workspace, key string) (place, error) {
	raw, err := parseKey(key)
	if err != nil {
		return place{}, err
	}
	h := sha256.New()
	h.Write([]byte(workspace))
	h.Write([]byte{0})
	h.Write(raw[:])
	sum := h.Sum(nil)
	millis := int64(binary.BigEndian.Uint64(raw[:8]) >> 16)
	p := place{
		shard:  int(sum[keyHashBytes]) % ShardCount,
		window: millis / Window.Milliseconds(),
		issued: time.UnixMilli(millis),
	}
	copy(p.hash[:], sum)
	return p, nil
}

const (
	uuidBytes   = 16
	uuidText    = 36
	uuidVersion = 7
	uuidVariant = 0b10
)

// parseKey reads the text form of a UUID of version 7.
func parseKey(key string) ([uuidBytes]byte, error) {
	var raw [uuidBytes]byte
	if len(key) != uuidText {
		return raw, malformedKey("length is not 36")
	}
	for _, i := range []int{8, 13, 18, 23} {
		if key[i] != '-' {
			return raw, malformedKey("dashes are misplaced")
		}
	}
	digits := key[:8] + key[9:13] + key[14:18] + key[19:23] + key[24:]
	if _, err := hex.Decode(raw[:], []byte(digits)); err != nil {
		return raw, malformedKey("a character is no hex digit")
	}
	if raw[6]>>4 != uuidVersion || raw[8]>>6 != uuidVariant {
		return raw, malformedKey("not of version 7")
	}
	return raw, nil
}

func malformedKey(why string) error {
	return fault.New(fault.Malformed, "send an Idempotency-Key that is a new UUID of version 7 (RFC 9562)", "Idempotency-Key: "+why)
}

// checkAge refuses a key whose page may have been given to a later window.
func checkAge(issued, wall time.Time) error {
	age := wall.Sub(issued)
	if age > Retention-SkewMargin {
		return errTooOld
	}
	if age < -SkewMargin {
		return fault.New(fault.Expired, "set the caller's clock and make a new key", "Idempotency-Key was issued in the future; not run by this call", fault.WithExecution(fault.ExecutionUnknown))
	}
	return nil
}

var errTooOld = fault.New(fault.Expired, "ask the service whether the commit ran; make a new key only if it did not", "Idempotency-Key is older than the ledger's memory; not run by this call", fault.WithExecution(fault.ExecutionUnknown))

// objectName gives the platform object of a page. Windows a whole ring apart share one.
func objectName(shard int, window int64) string {
	slot := ((window % ringPages) + ringPages) % ringPages
	return strings.Join([]string{"ledger", strconv.Itoa(shard), strconv.FormatInt(slot, 10)}, "/")
}
