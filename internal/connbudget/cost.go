package connbudget

import (
	"bytes"
	"net/http"
)

// Memory of a parsed head: net/http keeps each line as an entry of a map with a slice of values, and copies its bytes.
const (
	lineBytes = 128
	byteBytes = 2
	// encryptedByteBytes is the memory of a byte in the costliest head, one of lines of four bytes. The lines of an encrypted head
	// cannot be counted before it is parsed.
	encryptedByteBytes = 32
)

// HeadBytes returns the memory that a piece of a head takes once it is parsed.
func HeadBytes(piece []byte) int64 {
	return int64(bytes.Count(piece, []byte{'\n'})*lineBytes + len(piece)*byteBytes)
}

// EncryptedHeadBytes returns the most memory that a piece of an encrypted head takes.
func EncryptedHeadBytes(n int) int64 { return int64(n) * encryptedByteBytes }

// ParsedHeadBytes returns the memory of a head that has been parsed.
func ParsedHeadBytes(r *http.Request) int64 {
	n, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		n += len(name)
		lines += len(values)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(lines*lineBytes + n*byteBytes)
}
