package drainer

import (
	"container/list"
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// fileDescriptors is the number of descriptors that are kept for files outside of a data folder.
	fileDescriptors = 200
	// Of the other descriptors, a quarter is for other daemons and data files, at most peerDescriptors and one in peerDivisor.
	// A leader with 4096 descriptors has to hold a connection of each of 3000 workers, beside 300 daemons.
	peerDescriptors = 200
	peerDivisor     = 10
	// slackDivisor of the limit gives the connections that are accepted beyond the others to be refused with a response, at
	// most maxSlack.
	slackDivisor     = 8
	maxSlack         = 128
	boundLogInterval = time.Second
	maxRoomWait      = 2 * quietTime // of a request on a connection above the bound
)

// MaxConnections returns how many connections of clients a process may have open with a number of descriptors.
func MaxConnections(descriptors int) int {
	others := descriptors - min(fileDescriptors, descriptors/4)
	peers := min((others+3)/4, peerDescriptors+others/peerDivisor)
	return max(others-peers, 1)
}

// Descriptors returns the number of descriptors that the process may have.
func Descriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit of descriptors: %w", err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// Bound limits the open connections of the servers that share it. At the bound the connections without a request are ended
// for new ones, the longest silent first. If all carry requests, the requests on new ones are refused.
type Bound struct {
	most  int // connections whose requests are served
	limit int // connections
	log   *zap.Logger

	mu      sync.Mutex
	open    int
	leaving int        // of these, ended for new ones but not closed yet
	silent  *list.List // of silence, the longest first
	ended   int        // connections ended for new ones
	refused int        // requests
	logged  time.Time  // time of the last line about these
}

// silence is the time that a connection has been without a request.
type silence struct {
	conn  *conn
	since time.Time
}

// NewBound returns a bound of the given number of connections, of which a part is for requests that are refused.
func NewBound(limit int, log *zap.Logger) *Bound {
	slack := min(max(limit/slackDivisor, 1), maxSlack)
	return &Bound{most: max(limit-slack, 1), limit: limit, log: log, silent: list.New()}
}

// isFull reports whether no further connection may be accepted, even to be refused.
func (b *Bound) isFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open >= b.limit
}

// makeRoom ends silent connections so that others can be accepted.
func (b *Bound) makeRoom() {
	for b.countLeaving() < max(b.limit-b.most, 1) && b.shedOne() {
	}
}

func (b *Bound) countLeaving() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// admit counts a new connection. If no silent one can end for it, it is above the bound.
func (b *Bound) admit(c *conn) {
	b.mu.Lock()
	b.open++
	c.silence = b.silent.PushBack(silence{c, time.Now()})
	b.mu.Unlock()
	c.above.Store(!b.shed())
}

// serves reports whether the requests on a connection are served. One that is above the bound waits for others that have
// become silent lately, and is refused if all carry requests.
func (b *Bound) serves(c *conn) bool {
	if !c.above.Load() {
		return true
	}
	for end := time.Now().Add(maxRoomWait); !b.shed(); time.Sleep(pollInterval) {
		if !b.hasSilent() || time.Now().After(end) {
			b.refuse()
			return false
		}
	}
	c.above.Store(false)
	return true
}

func (b *Bound) hasSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent.Len() > 0
}

// shed ends silent connections while too many are open. It reports whether enough are ending.
func (b *Bound) shed() bool {
	for {
		if !b.isOver() {
			return true
		}
		if !b.shedOne() {
			return false
		}
	}
}

func (b *Bound) isOver() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open-b.leaving > b.most
}

// shedOne ends the connection that has been silent for the longest time. It reports whether there is one.
func (b *Bound) shedOne() bool {
	for {
		c := b.takeSilent()
		if c == nil {
			return false
		}
		if c.retire() {
			return true
		}
		b.setActive(c) // a request has just arrived
	}
}

// takeSilent marks a connection as leaving and returns it, nil if none is silent for long enough.
func (b *Bound) takeSilent() *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	front := b.silent.Front()
	if front == nil || time.Since(front.Value.(silence).since) < quietTime {
		return nil
	}
	c := front.Value.(silence).conn
	b.unlist(c)
	c.leaving = true
	b.leaving++
	b.ended++
	b.record()
	return c
}

// refuse counts a request that is refused.
func (b *Bound) refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	b.record()
}

// record logs what was ended and refused so far. The caller must hold the lock.
func (b *Bound) record() {
	if now := time.Now(); now.Sub(b.logged) >= boundLogInterval {
		b.logged = now
		b.log.Warn("most connections are open", zap.Int("most", b.most), zap.Int("open", b.open), zap.Int("silent", b.silent.Len()),
			zap.Int("ended", b.ended), zap.Int("refused", b.refused))
	}
}

// unlist notes that a connection is not silent, or is leaving. The caller must hold the lock.
func (b *Bound) unlist(c *conn) {
	if c.silence != nil {
		b.silent.Remove(c.silence)
		c.silence = nil
	}
	if c.leaving {
		c.leaving = false
		b.leaving--
	}
}

// setActive notes that a connection carries a request.
func (b *Bound) setActive(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(c)
}

// setSilent notes that a connection carries no request any more.
func (b *Bound) setSilent(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.released {
		b.unlist(c)
		c.silence = b.silent.PushBack(silence{c, time.Now()})
	}
}

// release notes that a connection is closed.
func (b *Bound) release(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.released {
		b.unlist(c)
		c.released = true
		b.open--
	}
}
