package drainer

// stage is a part of a server's life, in the order in which it passes them. A stop may skip some.
type stage int32

const (
	serving  stage = iota
	draining       // clients are told to close their connections
	refusing       // no connection is accepted any more
	retiring       // connections without a request are closed
	aborting       // the contexts of requests in progress are cancelled
	closing        // all connections are closed
)

// String implements fmt.Stringer.
func (s stage) String() string {
	return [...]string{"serving", "draining", "refusing", "retiring", "aborting", "closing"}[s]
}

// enter moves the server to a stage, unless it has passed it.
func (d *Drainer) enter(s stage) {
	for {
		before := d.stage.Load()
		if stage(before) >= s || d.stage.CompareAndSwap(before, int32(s)) {
			return
		}
	}
}

// isDraining reports whether clients are told to close their connections.
func (d *Drainer) isDraining() bool { return stage(d.stage.Load()) >= draining }
