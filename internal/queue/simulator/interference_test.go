package simulator

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// images are the images of the jobs in these tests.
var images = []string{"a", "b", "c", "d"}

// pairFactor is a model with one pair of images: "b" slows "a" down.
func pairFactor(_ time.Duration, image, beside string) float64 {
	if image == "a" && beside == "b" {
		return 2
	}
	return 1
}

// interferenceModels are the models that the leader does not know.
var interferenceModels = []struct {
	name     string
	interval time.Duration
	factor   func(at time.Duration, image, beside string) float64
}{
	{"none", 0, func(time.Duration, string, string) float64 { return 1 }},
	{"one pair", 0, pairFactor},
	{"symmetric", 0, func(_ time.Duration, image, beside string) float64 {
		if image+beside == "ab" || image+beside == "ba" || image+beside == "cd" || image+beside == "dc" {
			return 1.6
		}
		return 1
	}},
	{"by image", 0, func(_ time.Duration, image, beside string) float64 {
		if beside == "d" && image != "d" {
			return 1.7
		}
		return 1
	}},
	{"self", 0, func(_ time.Duration, image, beside string) float64 {
		if image == "a" && beside == "a" {
			return 1.8
		}
		return 1
	}},
	{"changing", 4 * time.Second, func(at time.Duration, image, beside string) float64 {
		// The image that "b" slows down changes each 12 s.
		if beside == "b" && image == images[at/(12*time.Second)%2*2] {
			return 2
		}
		return 1
	}},
}

// interferenceLoad returns a fleet and a load whose jobs name images. Less than half of the fleet is in use, so tasks can be
// kept apart.
func interferenceLoad() (Fleet, Load) {
	fleet, load := Reports(0.6)
	load.Duration = 90 * time.Second
	for i := range load.Queues {
		load.Queues[i].Images = images
	}
	return fleet, load
}

// play runs a load under a model with the leader's learning on or off, and returns the lines on pairs.
func play(seed uint64, fleet Fleet, load Load, faults []Fault, model Interference) (*Result, []observer.LoggedEntry) {
	core, logs := observer.New(zapcore.InfoLevel)
	r := Run(Options{Seed: seed, Fleet: fleet, Load: load, Faults: faults, Interference: model, Log: zap.New(core)})
	return r, logs.FilterMessage("images interfere").All()
}

func describe(lines []observer.LoggedEntry) string {
	found := map[string]int{}
	for _, l := range lines {
		m := l.ContextMap()
		found[fmt.Sprintf("%v<%v", m["image"], m["beside"])]++
	}
	return strings.TrimPrefix(fmt.Sprint(found), "map")
}

// TestInterferenceFigures prints what callers earn and how long tasks take under each model, with the learning on and off.
func TestInterferenceFigures(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip()
	}
	const seeds = 8
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, m := range interferenceModels {
		for _, ignored := range []bool{true, false} {
			var sum Result
			var all []observer.LoggedEntry
			var lock sync.Mutex
			var wait sync.WaitGroup
			for seed := range uint64(seeds) {
				wait.Go(func() {
					fleet, load := interferenceLoad()
					r, lines := play(seed, fleet, load, nil, Interference{Factor: m.factor, Interval: m.interval, Ignored: ignored})
					lock.Lock()
					defer lock.Unlock()
					all = append(all, lines...)
					sum.OfferedValue += r.OfferedValue
					sum.EarnedValue += r.EarnedValue
					sum.TaskTime += r.TaskTime
					sum.TaskWork += r.TaskWork
				})
			}
			wait.Wait()
			fmt.Fprintf(w, "%s\tignored=%v\tearned %.4f\ttime %.4f\t%s\n", m.name, ignored, sum.EarnedShare(), sum.TaskTime/sum.TaskWork, describe(all))
		}
	}
	w.Flush()
}

func TestFalsePositiveScan(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip()
	}
	slow := func(start, length time.Duration, share, factor float64) Fault {
		return Fault{Kind: Slow, Start: start, Duration: length, Share: share, Slowdown: factor}
	}
	var flicker []Fault
	for i := range 12 {
		flicker = append(flicker, slow(time.Duration(5+7*i)*time.Second, 4*time.Second, 0.3, 2.5))
	}
	var stuck []Fault
	for i := range 12 {
		stuck = append(stuck, Fault{Kind: Stuck, Start: time.Duration(5+7*i) * time.Second, Duration: 2 * time.Second, Share: 0.2})
	}
	for _, c := range []struct {
		name   string
		faults []Fault
		scale  float64
	}{{"busy", nil, 1}, {"overload", nil, 1.4}, {"flicker", flicker, 0.6}, {"flicker-busy", flicker, 1}, {"stuck", stuck, 0.8}, {"trouble", faults(), 0.8}} {
		var all []observer.LoggedEntry
		var lock sync.Mutex
		var wait sync.WaitGroup
		for seed := range uint64(20) {
			wait.Go(func() {
				fleet, load := Reports(c.scale)
				load.Duration = 90 * time.Second
				for i := range load.Queues {
					load.Queues[i].Images = append([]string{"e", "f", "g", "h"}, images...)[:4+4*(seed%2)]
				}
				_, lines := play(100+seed, fleet, load, c.faults, Interference{})
				lock.Lock()
				defer lock.Unlock()
				all = append(all, lines...)
			})
		}
		wait.Wait()
		fmt.Println(c.name, describe(all))
	}
}
