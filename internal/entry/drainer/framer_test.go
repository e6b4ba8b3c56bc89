package drainer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestFramerSplitsAfterRequests guards against pipelined requests that nobody knows of, as the HTTP server has read them
// together with the one before.
func TestFramerSplitsAfterRequests(t *testing.T) {
	const get, post, chunked = "GET / HTTP/1.1\r\n\r\n", "POST / HTTP/1.0\nContent-Length: 6\n\n", "PUT / HTTP/1.1\r\n\r\n"
	for size := 1; size < 60; size++ {
		is := is.New(t)
		f, sent, passed := &framer{}, get+post+"\r\n\r\n{}"+"\r\n"+get+chunked+"0\r\n\r\n"+post+"\r\n\r\n{}"+get, []string{""}
		for len(sent) > 0 || len(f.pending) > 0 {
			p := make([]byte, size)
			var n int
			if len(f.pending) > 0 {
				n = f.take(p)
			} else {
				n = copy(p, sent)
				sent = sent[n:]
				n = f.split(p[:n])
			}
			passed[len(passed)-1] += string(p[:n])
			switch strings.TrimLeft(passed[len(passed)-1], lineEnds) {
			case post:
				f.begin(6)
			case chunked:
				f.begin(-1)
			}
			if f.isBetween() && strings.Trim(passed[len(passed)-1], lineEnds) != "" {
				is.Equal(f.surplus(len(sent)), len(f.pending)+len(sent))
				passed = append(passed, "")
			}
		}
		is.Equal(f.surplus(9), 0) // off
		for i := range passed {
			passed[i] = strings.TrimLeft(passed[i], lineEnds)
		}
		is.Equal(strings.Join(passed, "|"), get+"|"+post+"\r\n\r\n{}|"+get+"|"+chunked+"0\r\n\r\n"+post+"\r\n\r\n{}"+get)
	}
}
