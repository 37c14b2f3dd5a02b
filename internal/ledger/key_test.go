package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newKey returns a version 7 UUID with the given issue time; n distinguishes keys issued within the
// same millisecond.
func newKey(issued time.Time, n uint64) string {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], uint64(issued.UnixMilli())<<16)
	binary.BigEndian.PutUint64(raw[8:], n)
	raw[6] |= 0x70
	raw[8] = raw[8]&0x3f | 0x80
	h := hex.EncodeToString(raw[:])
	return strings.Join([]string{h[:8], h[8:12], h[12:16], h[16:20], h[20:]}, "-")
}

func TestKeyContainsIssueTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		issued := time.UnixMilli(rapid.Int64Range(0, 1<<48-1).Draw(t, "millis"))
		key := newKey(issued, rapid.Uint64().Draw(t, "n"))
		lower, err := locate("w", key)
		if err != nil {
			t.Fatal(err)
		}
		upper, err := locate("w", strings.ToUpper(key))
		if err != nil || upper != lower {
			t.Fatalf("lower and upper case locate to %+v and %+v (error %v)", lower, upper, err)
		}
		if !lower.issuedAt.Equal(issued) || lower.window != issued.UnixMilli()/PageWindow.Milliseconds() {
			t.Fatalf("issued %v, window %d", lower.issuedAt, lower.window)
		}
		other, _ := locate("v", key)
		if other.hash == lower.hash {
			t.Fatal("same hash for two workspaces")
		}
	})
}

func TestMalformedKeysAreRejected(t *testing.T) {
	good := newKey(time.UnixMilli(1), 1)
	for name, key := range map[string]string{
		"empty":       "",
		"short":       good[:35],
		"long":        good + "0",
		"hyphen":      strings.Replace(good, "-", "0", 1),
		"digit":       "g" + good[1:],
		"version 4":   good[:14] + "4" + good[15:],
		"bad variant": good[:19] + "f" + good[20:],
	} {
		if _, err := locate("w", key); !fault.Is(err, fault.Malformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestKeysOutsideRetentionAreRejected(t *testing.T) {
	now := time.UnixMilli(1 << 41)
	for age, want := range map[time.Duration]bool{
		0:                                      true,
		Retention - MaxClockSkew:               true,
		Retention - MaxClockSkew + 1:           false,
		-MaxClockSkew:                          true,
		-MaxClockSkew - 1:                      false,
		time.Duration(ringPages) * PageWindow:  false,
		24 * 365 * time.Hour:                   false,
		Retention - MaxClockSkew - time.Hour/2: true,
	} {
		err := checkAge(now.Add(-age), now)
		if (err == nil) != want || (err != nil && !fault.Is(err, fault.Expired)) {
			t.Errorf("age %v: %v", age, err)
		}
	}
}

// Windows that share an object must be further apart than any two keys accepted at the same time.
func TestRingIsLongerThanRetention(t *testing.T) {
	if span := time.Duration(ringPages) * PageWindow; span < Retention+2*MaxClockSkew {
		t.Fatalf("ring covers only %v", span)
	}
	seen := map[string]bool{}
	for w := range ringPages {
		seen[objectName(0, w)] = true
	}
	if int64(len(seen)) != ringPages || objectName(0, 7) != objectName(0, 7+ringPages) {
		t.Fatal(fmt.Sprint(len(seen), " objects"))
	}
}
