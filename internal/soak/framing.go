package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
)

// framing is how the end of a response is marked.
type framing string

const (
	chunked       framing = "chunked"
	withLength    framing = "with length"
	withoutLength framing = "without length"
)

func randomFraming(random *rand.Rand) framing {
	return []framing{chunked, chunked, withLength, withoutLength, withoutLength}[random.IntN(5)]
}

// set sets the header of a whole response of a length.
func (f framing) set(header http.Header, length int) {
	switch f {
	case withLength:
		header.Set("Content-Length", strconv.Itoa(length))
	case withoutLength:
		header.Set("Transfer-Encoding", "identity")
	}
}
