package simulator

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// images are the images of the jobs in these tests.
var images = []string{"a", "b", "c", "d"}

// interferenceModel is a model that the leader does not know.
type interferenceModel struct {
	name     string
	interval time.Duration
	factor   func(at time.Duration, image, beside string) float64
	pairs    []string // that interfere at any time
}

// factors returns a model that does not change.
func factors(name string, factor float64, pairs ...string) interferenceModel {
	return interferenceModel{name, 0, func(_ time.Duration, image, beside string) float64 {
		if slices.Contains(pairs, image+"<"+beside) {
			return factor
		}
		return 1
	}, pairs}
}

var interferenceModels = []interferenceModel{
	factors("none", 1),
	factors("one-pair", 2, "a<b"),
	factors("symmetric", 1.6, "a<b", "b<a", "c<d", "d<c"),
	factors("by-image", 1.7, "a<d", "b<d", "c<d"),
	factors("self", 1.8, "a<a"),
	// The image that "b" slows down changes every 12 s.
	{"changing", 4 * time.Second, func(at time.Duration, image, beside string) float64 {
		if beside == "b" && image == images[at/(12*time.Second)%2*2] {
			return 2
		}
		return 1
	}, []string{"a<b", "c<b"}},
}

// interferencePlay is a simulation with images.
type interferencePlay struct {
	model   interferenceModel
	ignored bool
	scale   float64 // of the load; at 0.6 a third of the fleet is in use
	images  []string
	length  time.Duration
	faults  []Fault
	long    bool  // the tasks of one queue take four times as long
	tails   int64 // bound on the tails of lasting tasks, 0 for none of them
}

// run plays one seed. found counts how often the leader found each pair to interfere.
func (p interferencePlay) run(seed uint64) (r *Result, found map[string]int) {
	fleet, load := Reports(p.scale)
	load.Duration = p.length
	for i := range load.Queues {
		load.Queues[i].Images = p.images
	}
	if p.long {
		load.Queues[0].Work *= 4
		load.Queues[0].MaxWork *= 4
		load.Queues[0].Rate /= 4
	}
	if p.tails > 0 {
		load.Queues = append(load.Queues, Queue{
			Name: "service", Rate: 0.4, Priority: 1, Attempts: 3, Stretch: 3, Target: time.Second, Value: 1, LateValue: 1, Work: time.Hour, MaxWork: time.Hour,
			Steps: 1, Width: 1, MaxWidth: 1, Processors: 2000, Memory: 1000, Accelerators: []int64{0}, Lasting: true, Tail: p.tails, Images: p.images[:1],
		})
	}
	core, logs := observer.New(zapcore.InfoLevel)
	r = Run(Options{
		Seed: seed, Fleet: fleet, Load: load, Faults: p.faults, DrainTime: 30 * time.Second, Log: zap.New(core),
		Interference: Interference{Factor: p.model.factor, Interval: p.model.interval, Ignored: p.ignored},
	})
	found = map[string]int{}
	for _, l := range logs.FilterMessage("images interfere").All() {
		m := l.ContextMap()
		found[fmt.Sprintf("%v<%v", m["image"], m["beside"])]++
	}
	return r, found
}

// interferenceSum is the sum of several plays.
type interferenceSum struct {
	Result
	found      map[string]int // pairs, by the number of plays in which they were found
	wrong      int            // pairs found that do not interfere
	violations []string
}

// runAll plays several seeds at once.
func (p interferencePlay) runAll(first, seeds uint64) interferenceSum {
	sum := interferenceSum{found: map[string]int{}}
	var lock sync.Mutex
	var wait sync.WaitGroup
	for seed := first; seed < first+seeds; seed++ {
		wait.Go(func() {
			r, found := p.run(seed)
			lock.Lock()
			defer lock.Unlock()
			sum.OfferedValue += r.OfferedValue
			sum.EarnedValue += r.EarnedValue
			sum.TaskTime += r.TaskTime
			sum.TaskWork += r.TaskWork
			sum.TailReadings += r.TailReadings
			sum.TailsOver += r.TailsOver
			sum.violations = append(sum.violations, r.Violations...)
			for pair := range found {
				sum.found[pair]++
				if !slices.Contains(p.model.pairs, pair) {
					sum.wrong++
				}
			}
		})
	}
	wait.Wait()
	return sum
}

// interferencePlays returns the plays with interference, by name.
func interferencePlays(length time.Duration) map[string]interferencePlay {
	plays := map[string]interferencePlay{}
	for _, m := range interferenceModels[1:] {
		plays[m.name] = interferencePlay{model: m, scale: 0.6, images: images, length: length}
	}
	slow, long := plays["one-pair"], plays["one-pair"]
	slow.faults = slowTimes(Slow, 0.2, 2.5, 4*time.Second)
	long.long = true
	plays["one-pair-slow-workers"], plays["one-pair-long-tasks"] = slow, long
	return plays
}

// TestInterferingImagesAreLearned guards against a leader that does not learn, under each model, so that tasks take as long
// as without learning, and against pairs that do not interfere being found.
func TestInterferingImagesAreLearned(t *testing.T) {
	for name, p := range interferencePlays(60 * time.Second) {
		on := p.runAll(0, 4)
		p.ignored = true
		off := p.runAll(0, 4)
		t.Logf("%s: earned %.4f, without learning %.4f; time for the work %.4f, %.4f; found %v", name, on.EarnedShare(), off.EarnedShare(),
			on.TaskTime/on.TaskWork, off.TaskTime/off.TaskWork, on.found)
		if len(on.found) == 0 || on.TaskTime/on.TaskWork >= off.TaskTime/off.TaskWork {
			t.Errorf("%s: not learned", name)
		}
		if on.wrong > 0 || len(off.found) > 0 || len(on.violations) > 0 {
			t.Errorf("%s: found %v, without learning %v, violations %v", name, on.found, off.found, on.violations)
		}
	}
}

// TestNothingChangesWithoutInterference guards against placement that changes although no images interfere, or no job names
// one: all results are those without learning.
func TestNothingChangesWithoutInterference(t *testing.T) {
	for _, list := range [][]string{nil, images} {
		p := interferencePlay{model: interferenceModels[0], scale: 1, images: list, length: 20 * time.Second}
		on, found := p.run(7)
		p.ignored = true
		off, _ := p.run(7)
		if !reflect.DeepEqual(on, off) || len(found) > 0 {
			t.Errorf("images %v: results %+v and %+v, found %v", list, on, off, found)
		}
	}
}

// slowTimes returns faults of workers that become slow, or stuck, for some seconds again and again.
func slowTimes(kind FaultKind, share, slowdown float64, length time.Duration) []Fault {
	var list []Fault
	for at := 4 * time.Second; at < 60*time.Second; at += 7 * time.Second {
		list = append(list, Fault{Kind: kind, Start: at, Duration: length, Share: share, Slowdown: slowdown})
	}
	return list
}

// falsePatterns are loads and faults that must not be taken for interference. All fleets have workers of three speeds,
// gangs across racks that are three times as slow, and runs that are stopped and resumed.
var falsePatterns = []struct {
	name   string
	scale  float64
	faults []Fault
}{
	{"busy", 1, nil},
	{"overload", 1.4, nil},
	{"slow-workers", 0.8, slowTimes(Slow, 0.3, 2.5, 4*time.Second)},
	{"all-slow", 0.8, slowTimes(Slow, 1, 2.5, 3*time.Second)},
	{"stuck-workers", 0.8, slowTimes(Stuck, 0.2, 0, 2*time.Second)},
	{"trouble", 0.8, faults()},
}

// TestTroubleIsNoInterference guards against false positives, by pattern.
func TestTroubleIsNoInterference(t *testing.T) {
	for _, f := range falsePatterns {
		p := interferencePlay{model: interferenceModels[0], scale: f.scale, images: append([]string{"e", "f"}, images...), length: 40 * time.Second, faults: f.faults}
		if sum := p.runAll(200, 3); len(sum.found) > 0 {
			t.Errorf("%s: found %v", f.name, sum.found)
		}
	}
}

// TestInterferenceAfterChangeOfLeader guards against a new leader that does not learn, or that breaks an invariant by what it
// does not know yet.
func TestInterferenceAfterChangeOfLeader(t *testing.T) {
	p := interferencePlay{
		model: interferenceModels[3], scale: 0.6, images: images, length: 60 * time.Second,
		faults: []Fault{{Kind: LeaderChange, Start: 20 * time.Second, Duration: time.Second}},
	}
	if sum := p.runAll(0, 3); len(sum.found) == 0 || sum.wrong > 0 || len(sum.violations) > 0 {
		t.Errorf("found %v, violations %v", sum.found, sum.violations)
	}
}

// tailModel is a model in which "b" slows down the services, which have the image "a".
var tailModel = factors("tails", 2, "a<b")

// TestTailsOfServices guards against tails over their bound that learning does not make rarer.
func TestTailsOfServices(t *testing.T) {
	p := interferencePlay{model: tailModel, scale: 0.5, images: images, length: 60 * time.Second, tails: 70}
	on := p.runAll(0, 4)
	p.ignored = true
	off := p.runAll(0, 4)
	share := func(s interferenceSum) float64 { return float64(s.TailsOver) / float64(s.TailReadings) }
	t.Logf("over the bound %.4f, without learning %.4f; found %v", share(on), share(off), on.found)
	if on.wrong > 0 || share(on) >= share(off) {
		t.Errorf("not learned: %v", on.found)
	}
}

// BenchmarkInterference reports, by model, with learning and without, the share of the value that is earned, how long tasks
// took as a multiple of their work, tails over the bound, and the pairs found that interfere and that do not. All are sums over 8
// plays.
func BenchmarkInterference(b *testing.B) {
	const seeds = 8
	report := func(b *testing.B, p interferencePlay) {
		for b.Loop() {
			s := p.runAll(0, seeds)
			b.ReportMetric(s.EarnedShare(), "earned")
			b.ReportMetric(s.TaskTime/s.TaskWork, "time")
			if s.TailReadings > 0 {
				b.ReportMetric(float64(s.TailsOver)/float64(s.TailReadings), "tailsover")
			}
			found := 0
			for _, n := range s.found {
				found += n
			}
			b.ReportMetric(float64(found-s.wrong), "right")
			b.ReportMetric(float64(s.wrong), "wrong")
		}
	}
	for _, ignored := range []bool{true, false} {
		plays := interferencePlays(90 * time.Second)
		plays["none"] = interferencePlay{model: interferenceModels[0], scale: 0.6, images: images, length: 90 * time.Second}
		for _, name := range slices.Sorted(maps.Keys(plays)) {
			p := plays[name]
			p.ignored = ignored
			b.Run(fmt.Sprintf("%s/ignored=%v", name, ignored), func(b *testing.B) { report(b, p) })
		}
		b.Run(fmt.Sprintf("tails/ignored=%v", ignored), func(b *testing.B) {
			report(b, interferencePlay{model: tailModel, scale: 0.5, images: images, length: 90 * time.Second, ignored: ignored, tails: 70})
		})
	}
	for _, f := range falsePatterns {
		b.Run("no-interference/"+f.name, func(b *testing.B) {
			report(b, interferencePlay{model: interferenceModels[0], scale: f.scale, images: append([]string{"e", "f"}, images...), length: 60 * time.Second, faults: f.faults})
		})
	}
}
