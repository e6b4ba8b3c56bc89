package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebellgauge/bluebellgauge/internal/config/parser"
	"github.com/bluebellgauge/bluebellgauge/internal/console/client"
	"github.com/bluebellgauge/bluebellgauge/internal/job/scheduler"
)

const (
	jobsOfUser   = 100
	spread       = 6 * time.Second // over which the jobs are submitted
	killWorkerAt = 2 * time.Second
	killLeaderAt = 4 * time.Second
	answerBound  = 25 * time.Second
	sampleEvery  = 200 * time.Millisecond
)

// request is one job of the load.
type request struct {
	org    string
	key    string
	job    parser.Job
	at     time.Duration
	cancel bool
}

// load draws the jobs of one user.
func load(user User, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 2))
	gangs := []int{1, 1, 1, 1, 2, 2, 4, 4, 8, 16}
	var list []request
	for i := range jobsOfUser {
		r := request{
			org: user.Organisations[random.IntN(len(user.Organisations))],
			key: fmt.Sprintf("job-%03d", i),
			at:  time.Duration(random.Int64N(int64(spread))),
			job: parser.Job{
				Service: user.Service, Tasks: gangs[random.IntN(len(gangs))], Accelerators: 1,
				Adjacency: "place", Runtime: parser.Duration(time.Duration(200+random.IntN(1500)) * time.Millisecond),
				Checkpoint: random.IntN(2) == 0, Urgent: random.IntN(10) == 0,
			},
		}
		// Declared run times are off by up to five times.
		run := parser.Duration(float64(r.job.Runtime) * (0.2 + random.Float64()))
		r.job.Body, _ = json.Marshal(map[string]any{"run": run, "echo": r.key})
		switch {
		case i%20 == 7:
			r.job.Accelerators = slots + 1 // can never run
		case i%20 == 11:
			r.cancel = true
		case i%10 == 3:
			no := false
			r.job.Idempotent = &no
		}
		list = append(list, r)
	}
	return list
}

// runUser starts one user's fleet, puts the load through it and judges what was seen.
func runUser(user User, opts Options, seed uint64) (*Result, error) {
	f, err := startFleet(user, opts.Log)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	c := &campaign{fleet: f, opts: opts, seen: make([]sighting, jobsOfUser)}
	return c.run(load(user, seed))
}

// campaign is one load on its way through a fleet.
type campaign struct {
	fleet *Fleet
	opts  Options

	mu    sync.Mutex
	seen  []sighting
	over  int
	frags []float64
}

// sighting is what the caller of one job saw.
type sighting struct {
	answer  *scheduler.Answer
	again   *scheduler.Answer // of a resend of the same request through another entry
	elapsed time.Duration
	err     error
}

func (c *campaign) run(list []request) (*Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), spread+answerBound)
	defer cancel()
	began := time.Now()
	var wait sync.WaitGroup
	for i, r := range list {
		wait.Go(func() {
			time.Sleep(r.at)
			c.record(i, c.call(ctx, i, r))
		})
	}
	disturbed := make(chan error, 1)
	go func() { disturbed <- c.disturb(began) }()
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	c.follow(ctx, done, len(list))
	<-done
	if err := <-disturbed; err != nil {
		return nil, err
	}
	return c.judge(list), nil
}

// call submits one job, waits for its answer, and asks again through another entry.
func (c *campaign) call(ctx context.Context, i int, r request) sighting {
	entries := c.fleet.entries
	first := append(entries[i%len(entries):len(entries):len(entries)], entries[:i%len(entries)]...)
	cl := client.New(first, Token(r.org))
	defer cl.Close()
	began := time.Now()
	if _, err := cl.Submit(ctx, r.key, r.job); err != nil {
		return sighting{err: err}
	}
	if r.cancel {
		if _, err := cl.Cancel(ctx, []string{r.key}); err != nil {
			return sighting{err: err}
		}
	}
	view, err := cl.Answer(ctx, r.key)
	if err != nil {
		return sighting{err: err}
	}
	s := sighting{answer: view.Answer, elapsed: time.Since(began)}
	other := client.New(append(first[1:len(first):len(first)], first[0]), Token(r.org))
	defer other.Close()
	again, err := other.Submit(ctx, r.key, r.job)
	s.again, s.err = again.Answer, err
	return s
}

func (c *campaign) record(i int, s sighting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[i] = s
	c.over++
}

// disturb loses a worker and the leading keeper on the way.
func (c *campaign) disturb(began time.Time) error {
	time.Sleep(time.Until(began.Add(killWorkerAt)))
	c.fleet.workers[0].Kill()
	time.Sleep(time.Until(began.Add(killLeaderAt)))
	return c.fleet.killLeader()
}

// follow samples the fragmentation and shows progress until the load is over.
func (c *campaign) follow(ctx context.Context, done chan struct{}, total int) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	cl := client.New(c.fleet.entries, operatorToken)
	defer cl.Close()
	for {
		select {
		case <-done:
			c.show(total)
			return
		case <-ticker.C:
			c.sample(ctx, cl)
			c.show(total)
		}
	}
}

func (c *campaign) sample(ctx context.Context, cl *client.Client) {
	ctx, cancel := context.WithTimeout(ctx, sampleEvery)
	defer cancel()
	var figures struct {
		Fragmentation float64 `json:"fragmentation"`
	}
	if err := cl.Get(ctx, "/v1/figures", &figures); err != nil {
		return // during an election there is nothing to sample
	}
	c.frags = append(c.frags, figures.Fragmentation)
}

func (c *campaign) show(total int) {
	if c.opts.Progress == nil {
		return
	}
	c.mu.Lock()
	over := c.over
	c.mu.Unlock()
	_, _ = fmt.Fprintf(c.opts.Progress, "\r%s: %d of %d answered ", c.fleet.user.Name, over, total)
	if over == total {
		_, _ = fmt.Fprintln(c.opts.Progress)
	}
}
