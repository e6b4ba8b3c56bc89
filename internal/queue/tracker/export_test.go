package tracker

import "fmt"

// Check returns an error if the runs of the jobs and of the workers are inconsistent.
func (t *Tracker) Check() error {
	active := map[string]int{}
	for worker, runs := range t.runs {
		for key := range runs {
			if t.jobs[key.Job] == nil {
				return fmt.Errorf("run %v on worker %s belongs to no job", key, worker)
			}
			active[key.Job]++
		}
	}
	for id, j := range t.jobs {
		if active[id] != j.active {
			return fmt.Errorf("job %s has %d active runs, but the workers have %d", id, j.active, active[id])
		}
	}
	return nil
}
