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
	jobsPerUser    = 100
	submitWindow   = 6 * time.Second // submissions are spread over this time
	killWorkerAt   = 2 * time.Second
	killLeaderAt   = 4 * time.Second
	answerTimeout  = 25 * time.Second
	sampleInterval = 200 * time.Millisecond
)

// request is one job submission of the load.
type request struct {
	org      string
	key      string
	job      parser.Job
	submitAt time.Duration
	cancel   bool
}

// generateLoad returns the random jobs of one user.
func generateLoad(user User, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 2))
	gangs := []int{1, 1, 1, 1, 2, 2, 4, 4, 8, 16}
	var list []request
	for i := range jobsPerUser {
		r := request{
			org:      user.Organisations[random.IntN(len(user.Organisations))],
			key:      fmt.Sprintf("job-%03d", i),
			submitAt: time.Duration(random.Int64N(int64(submitWindow))),
			job: parser.Job{
				Service: user.Service, Tasks: gangs[random.IntN(len(gangs))], Accelerators: 1,
				Adjacency: "place", Runtime: parser.Duration(time.Duration(200+random.IntN(1500)) * time.Millisecond),
				Checkpoint: random.IntN(2) == 0, Urgent: random.IntN(10) == 0,
			},
		}
		// The actual run time is 0.2 to 1.2 times the declared one, which may thus be five times too long.
		run := parser.Duration(float64(r.job.Runtime) * (0.2 + random.Float64()))
		r.job.Body, _ = json.Marshal(map[string]any{"run": run, "echo": r.key})
		switch {
		case i%20 == 7:
			r.job.Accelerators = slots + 1 // more than any worker has, so the job can never run
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

// runUser starts the fleet of one user, runs the load on it and evaluates the results.
func runUser(user User, opts Options, seed uint64) (*Result, error) {
	f, err := startFleet(user, opts.Log)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	c := &loadRun{fleet: f, opts: opts, results: make([]callResult, jobsPerUser)}
	return c.run(generateLoad(user, seed))
}

// loadRun is the run of one load on a fleet.
type loadRun struct {
	fleet *Fleet
	opts  Options

	mu            sync.Mutex
	results       []callResult
	finished      int
	fragmentation []float64
}

// callResult is the result of one job as its caller received it.
type callResult struct {
	answer  *scheduler.Answer
	resent  *scheduler.Answer // answer to the same request sent again through another entry
	elapsed time.Duration
	err     error
}

func (c *loadRun) run(list []request) (*Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), submitWindow+answerTimeout)
	defer cancel()
	started := time.Now()
	var wait sync.WaitGroup
	for i, r := range list {
		wait.Go(func() {
			time.Sleep(r.submitAt)
			c.record(i, c.runJob(ctx, i, r))
		})
	}
	injected := make(chan error, 1)
	go func() { injected <- c.injectFailures(started) }()
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	c.monitor(ctx, done, len(list))
	<-done
	if err := <-injected; err != nil {
		return nil, err
	}
	return c.evaluate(list), nil
}

// runJob submits one job, waits for its answer and submits the same request again through another entry.
func (c *loadRun) runJob(ctx context.Context, i int, r request) callResult {
	entries := c.fleet.entries
	first := append(entries[i%len(entries):len(entries):len(entries)], entries[:i%len(entries)]...)
	cl := client.New(first, Token(r.org))
	defer cl.Close()
	started := time.Now()
	if _, err := cl.Submit(ctx, r.key, r.job); err != nil {
		return callResult{err: err}
	}
	if r.cancel {
		if _, err := cl.Cancel(ctx, []string{r.key}); err != nil {
			return callResult{err: err}
		}
	}
	view, err := cl.Answer(ctx, r.key)
	if err != nil {
		return callResult{err: err}
	}
	s := callResult{answer: view.Answer, elapsed: time.Since(started)}
	other := client.New(append(first[1:len(first):len(first)], first[0]), Token(r.org))
	defer other.Close()
	again, err := other.Submit(ctx, r.key, r.job)
	s.resent, s.err = again.Answer, err
	return s
}

func (c *loadRun) record(i int, s callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[i] = s
	c.finished++
}

// injectFailures kills a worker and later the leader while the load runs.
func (c *loadRun) injectFailures(started time.Time) error {
	time.Sleep(time.Until(started.Add(killWorkerAt)))
	c.fleet.workers[0].Kill()
	time.Sleep(time.Until(started.Add(killLeaderAt)))
	return c.fleet.killLeader()
}

// monitor samples the fragmentation and prints progress until all jobs have ended.
func (c *loadRun) monitor(ctx context.Context, done chan struct{}, total int) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	cl := client.New(c.fleet.entries, operatorToken)
	defer cl.Close()
	for {
		select {
		case <-done:
			c.printProgress(total)
			return
		case <-ticker.C:
			c.sampleFragmentation(ctx, cl)
			c.printProgress(total)
		}
	}
}

func (c *loadRun) sampleFragmentation(ctx context.Context, cl *client.Client) {
	ctx, cancel := context.WithTimeout(ctx, sampleInterval)
	defer cancel()
	var figures struct {
		Fragmentation float64 `json:"fragmentation"`
	}
	if err := cl.Get(ctx, "/v1/figures", &figures); err != nil {
		return // figures are not available during an election
	}
	c.fragmentation = append(c.fragmentation, figures.Fragmentation)
}

func (c *loadRun) printProgress(total int) {
	if c.opts.Progress == nil {
		return
	}
	c.mu.Lock()
	over := c.finished
	c.mu.Unlock()
	_, _ = fmt.Fprintf(c.opts.Progress, "\r%s: %d of %d answered ", c.fleet.user.Name, over, total)
	if over == total {
		_, _ = fmt.Fprintln(c.opts.Progress)
	}
}
