package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// maxDepth is the maximum depth of nested lists and maps. The msgpack library calls itself for each level, so that a message of
// a few MiB could use up the stack. Messages of this product have less than 16 levels.
const maxDepth = 64

var (
	errTruncated = errors.New("the message ends within a value")
	errTooDeep   = errors.New("the message has too many levels of lists and maps")
)

// shape is what a scan finds out about a value.
type shape struct {
	// size is the length of the encoded value in bytes, cost an estimate of the memory that the decoded one takes, without size.
	size, cost int
}

const (
	// valueCost is the estimated memory of a decoded value besides its bytes.
	valueCost = 64
	// emptyCost is that of a nil or an empty map in a long list, which may stand for a structure.
	emptyCost = 256
	// longList is the length from which a list holds elements of one kind, and not the fields of a structure.
	longList = 64
)

// scan walks through the first value of raw without decoding it.
func scan(raw []byte) (shape, error) {
	var open [maxDepth]container
	depth, pos, cost := 0, 0, 0
	for {
		v, err := next(raw[pos:])
		if err != nil {
			return shape{}, err
		}
		pos += v.size
		cost += valueCost
		if v.empty && depth > 0 && open[depth-1].long {
			cost += emptyCost - valueCost
		}
		if v.children > 0 {
			if depth == maxDepth {
				return shape{}, errTooDeep
			}
			open[depth] = container{left: v.children, long: v.list && v.children > longList}
			depth++
			continue
		}
		for depth > 0 {
			if open[depth-1].left--; open[depth-1].left > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return shape{size: pos, cost: cost}, nil
		}
	}
}

// container is a list or map of which left values have not been scanned.
type container struct {
	left uint64
	long bool
}

// value is one value without those that it contains.
type value struct {
	size     int
	children uint64
	// list is set for a list, empty for nil and an empty map.
	list, empty bool
}

// next returns the first value of raw.
func next(raw []byte) (value, error) {
	if len(raw) == 0 {
		return value{}, errTruncated
	}
	c := raw[0]
	switch {
	case c <= 0x7f || c >= 0xe0:
		return value{size: 1}, nil
	case c <= 0x8f:
		return value{size: 1, children: 2 * uint64(c&0x0f), empty: c == 0x80}, nil
	case c <= 0x9f:
		return value{size: 1, children: uint64(c & 0x0f), list: true}, nil
	case c <= 0xbf:
		return sized(raw, 1, uint64(c&0x1f))
	}
	f := formats[c-firstFormat]
	if f.lengthBytes == 0 {
		if f.fixed == 0 {
			return value{}, fmt.Errorf("unknown code %#x", c)
		}
		v, err := sized(raw, f.fixed, 0)
		v.empty = c == 0xc0
		return v, err
	}
	if len(raw) < 1+f.lengthBytes {
		return value{}, errTruncated
	}
	n := length(raw[1 : 1+f.lengthBytes])
	switch {
	case f.perElement > 0:
		return value{size: 1 + f.lengthBytes, children: n * f.perElement, list: f.perElement == 1, empty: n == 0 && f.perElement == 2}, nil
	default:
		return sized(raw, 1+f.lengthBytes+f.fixed, n)
	}
}

// sized returns a value of a head and n bytes.
func sized(raw []byte, head int, n uint64) (value, error) {
	if uint64(len(raw)) < uint64(head)+n {
		return value{}, errTruncated
	}
	return value{size: head + int(n)}, nil
}

func length(raw []byte) uint64 {
	switch len(raw) {
	case 1:
		return uint64(raw[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(raw))
	default:
		return uint64(binary.BigEndian.Uint32(raw))
	}
}

// format describes the values that begin with a code from firstFormat on.
type format struct {
	// lengthBytes is the size of the length that follows the code, fixed the number of bytes with the code, or of those that
	// follow a length. perElement is the number of values for each unit of the length.
	lengthBytes, fixed int
	perElement         uint64
}

const firstFormat = 0xc0

// formats are those of the codes 0xc0 to 0xdf, as msgpack defines them. 0xc1 is never used.
var formats = [0xe0 - firstFormat]format{
	{fixed: 1},
	{},
	{fixed: 1},
	{fixed: 1}, // nil, unused, false, true
	{lengthBytes: 1},
	{lengthBytes: 2},
	{lengthBytes: 4}, // bytes
	{lengthBytes: 1, fixed: 1},
	{lengthBytes: 2, fixed: 1},
	{lengthBytes: 4, fixed: 1}, // extensions
	{fixed: 5},
	{fixed: 9}, // floats
	{fixed: 2},
	{fixed: 3},
	{fixed: 5},
	{fixed: 9}, // unsigned integers
	{fixed: 2},
	{fixed: 3},
	{fixed: 5},
	{fixed: 9}, // integers
	{fixed: 3},
	{fixed: 4},
	{fixed: 6},
	{fixed: 10},
	{fixed: 18}, // extensions of a fixed size
	{lengthBytes: 1},
	{lengthBytes: 2},
	{lengthBytes: 4}, // strings
	{lengthBytes: 2, perElement: 1},
	{lengthBytes: 4, perElement: 1}, // lists
	{lengthBytes: 2, perElement: 2},
	{lengthBytes: 4, perElement: 2}, // maps
}

// DecodedBytes estimates the memory that the values of raw take when they are decoded, besides raw. Values that cannot be
// decoded count up to there.
func DecodedBytes(raw []byte) int {
	cost := 0
	for len(raw) > 0 {
		s, err := scan(raw)
		if err != nil {
			break
		}
		cost += s.cost
		raw = raw[s.size:]
	}
	return cost
}
