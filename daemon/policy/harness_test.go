//go:build policy

// Package policy_test compares the decisions of the router with baselines in simulated
// time. Each measurement runs with several seeds and reports the median and the range.
package policy_test

import (
	"container/heap"
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// outDir is the folder for CSV files and plots; if it is empty, none are written.
var outDir = flag.String("out", "", "folder for CSV files and plots")

// seeds is the number of seeds with which each measurement runs.
const seeds = 10

var epoch = time.Unix(1_800_000_000, 0)

// event is a function that runs at a simulated time. Events of the same time run by
// seq, the order in which they were scheduled.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// clock is a simulated clock that runs events in the order of their times.
type clock struct {
	now       time.Duration
	events    []event
	scheduled int
}

func (c *clock) Len() int { return len(c.events) }
func (c *clock) Less(i, j int) bool {
	return c.events[i].at < c.events[j].at || (c.events[i].at == c.events[j].at && c.events[i].seq < c.events[j].seq)
}
func (c *clock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *clock) Push(x any)    { c.events = append(c.events, x.(event)) }
func (c *clock) Pop() any {
	last := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return last
}

func (c *clock) after(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(c, event{at: c.now + d, seq: c.scheduled, action: do})
}

func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(c).(event)
		c.now = next.at
		next.action()
	}
	c.now = until
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// results collects the figures of a measurement by policy.
type results struct {
	name   string
	rows   [][]string
	values map[string]map[string][]float64
	order  []string
}

func newResults(name string) *results {
	return &results{name: name, values: map[string]map[string][]float64{}}
}

// add records the figure of a policy for one seed.
func (r *results) add(policy, figure string, seed int, value float64) {
	r.rows = append(r.rows, []string{policy, figure, strconv.Itoa(seed), strconv.FormatFloat(value, 'g', 6, 64)})
	if r.values[policy] == nil {
		r.values[policy] = map[string][]float64{}
		r.order = append(r.order, policy)
	}
	r.values[policy][figure] = append(r.values[policy][figure], value)
}

func (r *results) median(policy, figure string) float64 {
	xs := slices.Clone(r.values[policy][figure])
	slices.Sort(xs)
	return stat.Quantile(0.5, stat.Empirical, xs, nil)
}

// report prints the median and the range of each figure as `name: value unit` lines and
// writes all values to a CSV file.
func (r *results) report(t *testing.T, units map[string]string) {
	for _, policy := range r.order {
		for _, figure := range slices.Sorted(mapKeys(r.values[policy])) {
			xs := r.values[policy][figure]
			fmt.Printf("%s, %s, %s: %.4g %s (%.4g to %.4g)\n", r.name, policy, figure, r.median(policy, figure), units[figure], slices.Min(xs), slices.Max(xs))
		}
	}
	if *outDir == "" {
		return
	}
	f, err := os.Create(filepath.Join(*outDir, r.name+".csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	w := csv.NewWriter(f)
	if err := w.WriteAll(append([][]string{{"policy", "figure", "seed", "value"}}, r.rows...)); err != nil {
		t.Fatal(err)
	}
}

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// The size of a plot.
const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// savePlot writes a plot with one line for each policy.
func savePlot(t *testing.T, name, title, xLabel, yLabel string, lines map[string]plotter.XYs) {
	if *outDir == "" {
		return
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Legend.Top = true
	var args []any
	for _, policy := range slices.Sorted(mapKeys(lines)) {
		args = append(args, policy, lines[policy])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(plotWidth, plotHeight, filepath.Join(*outDir, name+".svg")); err != nil {
		t.Fatal(err)
	}
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sorted := slices.Clone(xs)
	slices.Sort(sorted)
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
