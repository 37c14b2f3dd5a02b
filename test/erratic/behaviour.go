// Package erratic is an endpoint that answers HTTP requests in any way that a faulty one may. What it does with a
// request is drawn from a seed, as a product of how it frames, ends, paces and identifies its answer.
package erratic

import "math/rand/v2"

// Framing is how an answer tells where its body ends.
type Framing int

// The framings.
const (
	Length           Framing = iota
	Chunked                  // chunks of any size
	ByClose                  // neither a length nor chunks: the body ends with the connection
	HTTP10                   // an answer of HTTP/1.0, which ends with the connection
	LengthAndChunked         // both; the chunks count
	TwoLengths               // two lengths that differ
	LengthTooLong            // a length beyond the body
	LengthTooShort           // a length within the body, which goes on after it
	HugeChunk                // a chunk of 2^63 bytes
	LongExtension            // a chunk extension that is longer than a header may be
	LongTrailers             // trailers that are longer than a header may be
	framings
)

// Ending is how the connection goes on after the beginning of a body.
type Ending int

// The endings.
const (
	InOrder   Ending = iota
	Closed           // closed within the body
	Reset            // reset within the body
	LastChunk        // a last chunk within the body, if there are chunks
	endings
)

// Identity is which request an answer belongs to.
type Identity int

// The identities.
const (
	Own           Identity = iota
	Unnamed                // no request is named, and the connection ends
	Other                  // first the answer to another request
	Twice                  // the answer, and once more
	OnlyOther              // only the answer to another request
	Unsolicited            // an answer before the request has been read, then the answer
	LateUnnamed            // the answer; ahead of that to the next request one that names no request
	LateRejection          // the same with an answer that says that the request was not run
	identities
)

// Beginning is what precedes an answer.
type Beginning int

// The beginnings.
const (
	Plain       Beginning = iota
	Interim               // one interim response
	ManyInterim           // a hundred interim responses
	InHead                // the connection ends within the head
	BeforeHead            // the connection ends before the head
	LongHead              // a head that is longer than one may be
	NoHTTP                // bytes that are no answer
	beginnings
)

// Behaviour is what the endpoint does with one request.
type Behaviour struct {
	Framing   Framing
	Ending    Ending
	Identity  Identity
	Beginning Beginning
	// Status is the status of the answer. Rejected is set if it says that the request was not run.
	Status   int
	Rejected bool
	// Header holds what the endpoint says about itself.
	Header map[string]string
	// Piece is the number of bytes that are written at once, Cut where the body ends if it does not end in order, as
	// a fraction of it.
	Piece int
	Cut   float64
	// Body replaces the body of the answer unless it is empty.
	Body string
}

// Names are the header names of the protocol that the endpoint speaks.
type Names struct {
	// AttemptID names the request, Signature signs the answer, NotExecuted rejects the request.
	AttemptID, Signature, NotExecuted string
	// About are the headers with which endpoints say something about themselves.
	About []string
}

// aboutValues are values of headers that are read as numbers, flags or lists.
var aboutValues = []string{"1", "0", "", "-1", "1.5", "1e400", "nan", "yes", "1,2,3", "9,9,9", "a,b,c", "99999999999999999999", " 2 ", "0x10", "Fri, 04 Dec 2026 11:00:00 GMT"}

// Draw draws a behaviour. Most of the dimensions are at their ordinary value, so that each odd one is seen alone and
// together with some others.
func Draw(random *rand.Rand, names Names) Behaviour {
	b := Behaviour{Status: 200, Header: map[string]string{}, Piece: 1 << 20, Cut: random.Float64()}
	if random.IntN(2) == 0 {
		b.Framing = Framing(random.IntN(int(framings)))
	}
	if random.IntN(3) == 0 {
		b.Ending = Ending(random.IntN(int(endings)))
	}
	if random.IntN(3) == 0 {
		b.Identity = Identity(random.IntN(int(identities)))
	}
	if random.IntN(5) == 0 {
		b.Beginning = Beginning(random.IntN(int(beginnings)))
	}
	switch random.IntN(8) {
	case 0:
		b.Status = 500
	case 1:
		b.Status, b.Rejected = 503, true
	case 2:
		b.Piece = 1 + random.IntN(40)
	}
	for _, name := range names.About {
		if random.IntN(6) == 0 {
			b.Header[name] = aboutValues[random.IntN(len(aboutValues))]
		}
	}
	return b
}

// chunked reports whether the body comes in chunks.
func (b Behaviour) chunked() bool {
	return b.Framing == Chunked || b.Framing == LengthAndChunked || b.Framing == LongExtension || b.Framing == LongTrailers
}

// cutsBody reports whether a part of the body is left out.
func (b Behaviour) cutsBody() bool {
	return b.Ending == Closed || b.Ending == Reset || b.Ending == LastChunk && b.chunked()
}

// Sound reports whether the answer is an ordinary whole one that names its request.
func (b Behaviour) Sound() bool {
	return b.Framing <= HTTP10 && !b.cutsBody() && (b.Identity == Own || b.late()) && b.Beginning <= Interim && b.Status == 200
}

// late reports whether additional bytes follow the answer once the next request has been read.
func (b Behaviour) late() bool { return b.Identity == LateUnnamed || b.Identity == LateRejection }

// Truncated reports whether the framing shows that the body is not whole.
func (b Behaviour) Truncated() bool {
	switch {
	case b.Framing == LengthTooLong || b.Framing == HugeChunk || b.Beginning == InHead || b.Beginning == BeforeHead:
		return true
	case b.Ending == Closed || b.Ending == Reset:
		return b.Framing != ByClose && b.Framing != HTTP10 && b.Framing != LengthTooShort
	}
	return false
}
