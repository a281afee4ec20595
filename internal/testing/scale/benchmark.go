package scale

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Benchmark is the result of one Go benchmark. Its name contains the size.
type Benchmark struct {
	Name    string             `json:"name"`
	Metrics map[string]float64 `json:"metrics"` // by unit
	Date    string             `json:"date"`
}

var benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchmarks parses the output of go test -bench.
func ReadBenchmarks(in io.Reader) (all []Benchmark, err error) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		m := benchmarkLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		one := Benchmark{Name: m[1], Metrics: map[string]float64{},
			Date: time.Now().UTC().Format(time.DateOnly)}
		words := strings.Fields(m[2])
		for i := 0; i+1 < len(words); i += 2 {
			value, err := strconv.ParseFloat(words[i], 64)
			if err != nil {
				return nil, err
			}
			one.Metrics[words[i+1]] = value
		}
		all = append(all, one)
	}
	return all, lines.Err()
}

// TakeBenchmarks adds benchmarks, and replaces those with the same names.
func (c *Capacity) TakeBenchmarks(all []Benchmark) {
	for _, one := range all {
		at := -1
		for i := range c.Benchmarks {
			if c.Benchmarks[i].Name == one.Name {
				at = i
			}
		}
		if at >= 0 {
			c.Benchmarks[at] = one
		} else {
			c.Benchmarks = append(c.Benchmarks, one)
		}
	}
}
