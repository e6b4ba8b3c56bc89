package limiter

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	firstBytes     = 512      // read into a new buffer
	uncountedBytes = 16 << 10 // of a hold that do not count
)

// Errors of a hold that does not get the memory it asks for.
var (
	ErrBusy     = errors.New("too many large bodies at this time")
	ErrTooLarge = errors.New("the body takes too much memory")
)

// Budget bounds the memory that large request bodies take at one time. Small ones are bounded by the number of connections.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Hold returns a part of the budget, empty at first. The caller must call Release exactly once.
func (b *Budget) Hold() *Hold { return &Hold{budget: b} }

// Hold is the memory of one body. It must be used by one goroutine at a time.
type Hold struct {
	budget *Budget
	bytes  int64
	used   int64 // of the budget
}

// Add adds a number of bytes to the hold. The error is ErrTooLarge if it exceeds the budget alone, and ErrBusy if it does so with others.
func (h *Hold) Add(n int64) error {
	h.bytes += n
	need := h.bytes - uncountedBytes - h.used
	if need <= 0 {
		return nil
	}
	if h.used+need > h.budget.limit {
		return ErrTooLarge
	}
	if h.budget.used.Add(need) > h.budget.limit {
		h.budget.used.Add(-need)
		return ErrBusy
	}
	h.used += need
	return nil
}

// Release frees the memory of the hold.
func (h *Hold) Release() {
	h.budget.used.Add(-h.used)
	h.used = 0
}

// Read reads a body to its end. If the budget does not allow it, the body is discarded, so that its sender can read the response.
func (h *Hold) Read(r io.Reader) ([]byte, error) {
	body := make([]byte, 0, firstBytes)
	for {
		if len(body) == cap(body) {
			if err := h.Add(int64(cap(body))); err != nil {
				h.Release()
				_, discarded := io.Copy(io.Discard, r)
				return nil, errors.Join(err, discarded)
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
