package drainer

import "bytes"

// framer splits the bytes of a connection where a request ends, so that the HTTP server holds no part of the next one while
// it handles a request, and the connection knows whether a client has sent further requests without waiting for the response.
// It is off from the first body of unknown length on.
type framer struct {
	off      bool
	pending  []byte // read from the socket, not passed on
	body     int64  // bytes of the body that were not passed on
	newlines int    // at the end of what was passed on, without carriage returns
	header   int    // bytes of a header that is not complete
}

// begin notes that a handler starts for a request with a body of the given length, negative if it is unknown.
func (f *framer) begin(body int64) {
	f.off = f.off || body < 0
	f.body = max(body, 0)
}

// isBetween reports whether the bytes that follow begin a request.
func (f *framer) isBetween() bool { return !f.off && f.body == 0 && f.header == 0 }

// cut returns how many bytes may be passed on at once: to the end of the header or the body that they begin with. Line ends
// before a request belong to none.
func (f *framer) cut(p []byte) int {
	switch {
	case f.off:
		return len(p)
	case f.body > 0:
		n := int(min(f.body, int64(len(p))))
		f.body -= int64(n)
		return n
	}
	start := 0
	if f.isBetween() {
		start = len(p) - len(bytes.TrimLeft(p, lineEnds))
	}
	for i, c := range p[start:] {
		switch c {
		case '\n':
			f.newlines++
		case '\r':
		default:
			f.newlines = 0
		}
		f.header++
		if f.newlines == 2 {
			f.newlines, f.header = 0, 0
			return start + i + 1
		}
	}
	return len(p)
}

const lineEnds = "\r\n"

// split takes bytes that were read into p, keeps those that may not be passed on yet, and returns the number of the others.
func (f *framer) split(p []byte) int {
	inBody := f.body > 0
	n := f.cut(p)
	f.pending = append(f.pending, f.next(inBody, p[n:])...)
	return n
}

// take passes on kept bytes.
func (f *framer) take(p []byte) int {
	inBody := f.body > 0
	n := f.cut(f.pending[:min(len(p), len(f.pending))])
	copy(p, f.pending[:n])
	f.pending = f.next(inBody, f.pending[n:])
	return n
}

// next returns what follows the bytes that were passed on, without the line ends that some clients send behind a body.
func (f *framer) next(inBody bool, rest []byte) []byte {
	if inBody && f.isBetween() {
		return bytes.TrimLeft(rest, lineEnds)
	}
	return rest
}

// surplus returns the number of bytes of further requests, of which unread are still to be read.
func (f *framer) surplus(unread int) int {
	if f.off {
		return 0
	}
	return max(f.header+len(f.pending)+unread-int(f.body), 0)
}
