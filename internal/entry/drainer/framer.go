package drainer

// framer splits the bytes of a connection where a request ends, so that the HTTP server holds no part of the next one while
// it handles a request, and the connection knows whether a client has sent further requests without waiting for the response.
// The bytes after a body of unknown length are not split.
type framer struct {
	pending  []byte // read from the socket, not passed on
	body     int64  // bytes of the body that were not passed on, negative if its length is unknown
	newlines int    // at the end of what was passed on, without carriage returns
	header   int    // bytes of a header that is not complete
}

// cut returns how many bytes may be passed on at once: to the end of the header or the body that they begin with.
func (f *framer) cut(p []byte) int {
	switch {
	case f.body < 0:
		return len(p)
	case f.body > 0:
		n := int(min(f.body, int64(len(p))))
		f.body -= int64(n)
		return n
	}
	for i, c := range p {
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
			return i + 1
		}
	}
	return len(p)
}

// split takes bytes that were read into p, keeps those that may not be passed on yet, and returns the number of the others.
func (f *framer) split(p []byte) int {
	n := f.cut(p)
	f.pending = append(f.pending, p[n:]...)
	return n
}

// take passes on kept bytes.
func (f *framer) take(p []byte) int {
	n := f.cut(f.pending[:min(len(p), len(f.pending))])
	copy(p, f.pending[:n])
	f.pending = f.pending[n:]
	return n
}

// finish notes that a response is complete.
func (f *framer) finish() { f.body = max(f.body, 0) }

// surplus returns the number of bytes of further requests, of which unread are still to be read.
func (f *framer) surplus(unread int) int {
	if f.body < 0 {
		return 0
	}
	return max(f.header+len(f.pending)+unread-int(f.body), 0)
}
