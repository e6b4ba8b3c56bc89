package tracker

import "fmt"

// Check returns an error when the account contradicts itself.
func (b *Tracker) Check() error {
	active := map[string]int{}
	for worker, runs := range b.runs {
		for key := range runs {
			if b.jobs[key.Job] == nil {
				return fmt.Errorf("run %v on %s has no job", key, worker)
			}
			active[key.Job]++
		}
	}
	for id, j := range b.jobs {
		if active[id] != j.active {
			return fmt.Errorf("job %s counts %d runs, the workers have %d", id, j.active, active[id])
		}
	}
	return nil
}
