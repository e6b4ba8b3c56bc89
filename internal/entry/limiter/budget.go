package limiter

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	firstBytes = 512      // read into a new buffer
	smallBytes = 16 << 10 // of a body that does not count
)

// ErrBusy means that a body was not read because others take all the memory for them.
var ErrBusy = errors.New("too many large bodies at this time")

// Budget bounds the memory that large request bodies take at one time. Small ones are bounded by the number of connections.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Read reads a body to its end. The caller calls release once it no longer uses the body. If the budget does not allow it, the body
// is discarded, so that its sender can read the response, and the error is ErrBusy.
func (b *Budget) Read(r io.Reader) (body []byte, release func(), err error) {
	body = make([]byte, 0, firstBytes)
	counted := int64(0)
	release = func() { b.used.Add(-counted) }
	for {
		if len(body) == cap(body) {
			capacity := 2 * cap(body)
			if need := int64(capacity) - smallBytes - counted; need > 0 {
				if b.used.Add(need) > b.limit {
					b.used.Add(-need - counted)
					counted = 0
					_, err := io.Copy(io.Discard, r)
					return nil, release, errors.Join(ErrBusy, err)
				}
				counted += need
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
}
