// Package experiment runs sweeps in the emulator: one setting of a world over a list of values, for
// one or two variants. The runs of two variants are paired by seed, so that their difference is
// reported with a confidence interval.
package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mothcleat/sim"
)

// File is the definition of an experiment.
type File struct {
	Name    string      `toml:"name"`    // name of the results and plots
	Title   string      `toml:"title"`   // title of the plots
	Seeds   int         `toml:"seeds"`   // number of seeds of each point
	First   uint64      `toml:"first"`   // the first seed
	For     string      `toml:"for"`     // virtual time of each world
	Sweep   string      `toml:"sweep"`   // name of the setting on the x axis
	Values  []float64   `toml:"values"`  // values of the setting
	Figures []string    `toml:"figures"` // names of the plotted figures, as in the results
	World   sim.Options `toml:"world"`
	Lengths Lengths     `toml:"lengths"`
	Variant []Variant   `toml:"variant"` // at most two; none: the unchanged world
}

// Lengths are the settings of a world that are durations.
type Lengths struct {
	Shift    string `toml:"shift"`
	NoteLate string `toml:"note_late"`
	Kills    string `toml:"kills"`
	Restarts string `toml:"restarts"`
}

// Variant is one side of a comparison.
type Variant struct {
	Name string             `toml:"name"`
	Lab  string             `toml:"lab"` // path of another build of lab; "": this build
	Set  map[string]float64 `toml:"set"` // changed settings of the world, by name
}

// Point is one world to be run.
type Point struct {
	Variant string  `json:"variant"`
	X       float64 `json:"x"`
	Seed    uint64  `json:"seed"`
}

// Row is the result of a point, one line of the results.
type Row struct {
	Point
	Figures map[string]float64 `json:"figures"`
}

// settings has a setter for each setting that can be swept or set by a variant.
var settings = map[string]func(o *sim.Options, x float64){
	"gateways":   func(o *sim.Options, x float64) { o.Gateways = int(x) },
	"servers":    func(o *sim.Options, x float64) { o.Servers = int(x) },
	"load":       func(o *sim.Options, x float64) { o.Load = x },
	"per_second": func(o *sim.Options, x float64) { o.PerSecond = x },
	"customers":  func(o *sim.Options, x float64) { o.Customers = int(x) },
	"spread":     func(o *sim.Options, x float64) { o.Spread = int(x) },
	"note_loss":  func(o *sim.Options, x float64) { o.MessageLoss = x },
	"note_twice": func(o *sim.Options, x float64) { o.MessageDuplication = x },
	"surge":      func(o *sim.Options, x float64) { o.Surge = x },
	"state":      func(o *sim.Options, x float64) { o.Snapshots = x > 0 },
	"note_late":  func(o *sim.Options, x float64) { o.MessageDelay = seconds(x) },
	"shift":      func(o *sim.Options, x float64) { o.Shift = seconds(x) },
	"kills_per_minute": func(o *sim.Options, x float64) {
		o.Kills = 0
		if x > 0 {
			o.Kills = seconds(60 / x)
		}
	},
	"restarts_per_minute": func(o *sim.Options, x float64) {
		o.Restarts = 0
		if x > 0 {
			o.Restarts = seconds(60 / x)
		}
	},
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// Load reads an experiment from a file. Its errors name the file and the line or setting.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	f, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("experiment: %s: %w", path, err)
	}
	return f, nil
}

// Parse parses the text of an experiment and fills in the defaults.
func Parse(raw []byte) (*File, error) {
	f := &File{Seeds: 10, First: 1, For: "30s", Figures: []string{"service", "over_quota_share"}}
	f.World = sim.Options{Gateways: 8, Servers: 12, Load: 0.55, MessageLoss: -1}
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(f)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return nil, fmt.Errorf(
			"line %d: %s: no such setting",
			row,
			strings.Join(strict.Errors[0].Key(), "."),
		)
	}
	if err != nil {
		return nil, errors.New(strings.Join(strings.Fields(err.Error()), " "))
	}
	for _, l := range []struct {
		key, text string
		to        *time.Duration
	}{
		{"for", f.For, &f.World.Duration},
		{"lengths.shift", f.Lengths.Shift, &f.World.Shift},
		{"lengths.note_late", f.Lengths.NoteLate, &f.World.MessageDelay},
		{"lengths.kills", f.Lengths.Kills, &f.World.Kills},
		{"lengths.restarts", f.Lengths.Restarts, &f.World.Restarts},
	} {
		if l.text == "" {
			continue
		}
		if *l.to, err = time.ParseDuration(l.text); err != nil {
			return nil, fmt.Errorf("%s: %q is not a duration", l.key, l.text)
		}
	}
	if len(f.Variant) == 0 {
		f.Variant = []Variant{{Name: "as it is"}}
	}
	return f, f.check()
}

func (f *File) check() error {
	switch {
	case f.Name == "" || f.Name != filepath.Base(f.Name):
		return fmt.Errorf("name: %q must be a file name without a folder", f.Name)
	case f.Seeds < 2 || f.Seeds > 10000:
		return fmt.Errorf("seeds: %d: must be between 2 and 10000", f.Seeds)
	case settings[f.Sweep] == nil:
		return fmt.Errorf("sweep: %q is not a setting", f.Sweep)
	case len(f.Values) == 0:
		return errors.New("values: must have at least one value")
	case len(f.Variant) > 2:
		return fmt.Errorf("variant: %d variants: must be at most 2", len(f.Variant))
	case len(f.Variant) == 2 && f.Variant[0].Name == f.Variant[1].Name:
		return fmt.Errorf("variant: two are called %q", f.Variant[0].Name)
	}
	for _, v := range f.Variant {
		for name := range v.Set {
			if settings[name] == nil {
				return fmt.Errorf("variant %s: set.%s: no such setting", v.Name, name)
			}
		}
	}
	return nil
}

// Points returns all worlds of the experiment, seed after seed, so that an interrupted experiment
// has complete pairs.
func (f *File) Points() (all []Point) {
	for i := range f.Seeds {
		for _, x := range f.Values {
			for _, v := range f.Variant {
				all = append(all, Point{v.Name, x, f.First + uint64(i)})
			}
		}
	}
	return all
}

// options returns the options and the variant of a point.
func (f *File) options(p Point) (sim.Options, *Variant) {
	o := f.World
	i := slices.IndexFunc(f.Variant, func(v Variant) bool { return v.Name == p.Variant })
	v := &f.Variant[i]
	settings[f.Sweep](&o, p.X)
	for name, x := range v.Set {
		settings[name](&o, x) // the order doesn't matter: each sets another field
	}
	o.Seed = p.Seed
	return o, v
}

// ReadRows reads results. It ignores a last line that was truncated by an interruption, and returns
// no rows if the file doesn't exist.
func ReadRows(path string) (rows []Row, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var r Row
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			if lines.Scan() {
				return nil, fmt.Errorf("experiment: %s:%d: %w", path, n, err)
			}
			break
		}
		rows = append(rows, r)
	}
	return rows, lines.Err()
}

// Run runs the points that are not in the results yet, and appends their rows in the order in which
// the worlds end. When the context ends, Run stops and may be called again.
func (f *File) Run(ctx context.Context, results string, progress io.Writer) error {
	old, err := ReadRows(results)
	if err != nil {
		return err
	}
	have := map[Point]bool{}
	for _, r := range old {
		have[r.Point] = true
	}
	todo := slices.DeleteFunc(f.Points(), func(p Point) bool { return have[p] })
	if len(old) > 0 {
		fmt.Fprintf(
			progress,
			"%s: %d worlds were run before, %d remain\n",
			f.Name,
			len(old),
			len(todo),
		)
	}
	out, err := rewrite(results, old)
	if err != nil {
		return err
	}
	defer out.Close()
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		errs  error
		done  int
		began = time.Now()
		slots = make(chan struct{}, runtime.GOMAXPROCS(0))
	)
	for _, p := range todo {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			figures, err := f.play(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = writeRow(out, Row{p, figures})
			}
			errs = errors.Join(errs, err)
			if done++; done%max(1, len(todo)/20) == 0 {
				left := time.Duration(
					float64(time.Since(began)) / float64(done) * float64(len(todo)-done),
				)
				fmt.Fprintf(
					progress,
					"%s: %d of %d worlds, %v remain\n",
					f.Name,
					done,
					len(todo),
					left.Round(time.Second),
				)
			}
		}()
	}
	wg.Wait()
	return errors.Join(errs, ctx.Err())
}

// rewrite replaces the results by their complete rows, so that a truncated line doesn't remain
// before new rows. It returns the open file.
func rewrite(path string, rows []Row) (*os.File, error) {
	next := path + ".new"
	out, err := os.Create(next)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	for _, r := range rows {
		if err := writeRow(out, r); err != nil {
			return nil, errors.Join(err, out.Close())
		}
	}
	if err := os.Rename(next, path); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	return out, nil
}

func writeRow(out io.Writer, r Row) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = out.Write(append(line, '\n'))
	return err
}

// play runs one world, in this process or with another build.
func (f *File) play(ctx context.Context, p Point) (map[string]float64, error) {
	o, v := f.options(p)
	var line []byte
	if v.Lab == "" {
		figures, err := sim.RunSummary(o)
		if err != nil {
			return nil, fmt.Errorf("%s, %s %g, seed %d: %w", p.Variant, f.Sweep, p.X, p.Seed, err)
		}
		line = []byte(figures.Line())
	} else {
		text, err := json.Marshal(sim.Schedule{Options: o})
		if err != nil {
			return nil, err
		}
		cmd := exec.CommandContext(ctx, v.Lab, "sim", "--world", "-")
		cmd.Stdin = bytes.NewReader(text)
		if line, err = cmd.Output(); err != nil && len(line) == 0 {
			return nil, fmt.Errorf("%s: %w", v.Lab, err)
		}
	}
	return flatten(line)
}

// flatten returns the numbers in a run's figures by name. Names in groups have the form group.name.
func flatten(line []byte) (map[string]float64, error) {
	var f map[string]any
	if err := json.Unmarshal(line, &f); err != nil {
		return nil, fmt.Errorf("experiment: figures: %w", err)
	}
	flat := map[string]float64{}
	var add func(name string, v any)
	add = func(name string, v any) {
		switch v := v.(type) {
		case float64:
			flat[name] = v
		case bool:
			flat[name] = map[bool]float64{true: 1}[v]
		case map[string]any:
			if strings.HasSuffix(name, "by_spread") {
				return
			}
			for k, x := range v {
				add(strings.TrimPrefix(name+"."+k, "."), x)
			}
		}
	}
	add("", f)
	broken := 0.0
	for name, n := range flat {
		if strings.HasPrefix(name, "broken.") {
			broken += n
		}
	}
	flat["broken"] = broken
	if sent := flat["sent_units"]; sent > 0 {
		flat["over_quota_share"] = flat["over_quota_units"] / sent
	}
	// These depend on the machine and differ between runs of one seed.
	delete(flat, "events_per_second")
	delete(flat, "times_real")
	return flat, nil
}

// Summary is the summary of a figure at one value of the sweep.
type Summary struct {
	X        float64   `json:"x"`
	Figure   string    `json:"figure"`
	Variants []string  `json:"variants"`
	Means    []float64 `json:"means"`
	Spreads  []float64 `json:"intervals"` // half widths of 95% confidence intervals
	Seeds    int       `json:"seeds"`
	// Difference is the mean, over the seeds, of the second variant's figure minus the first one's.
	Difference float64 `json:"difference,omitempty"`
	Interval   float64 `json:"difference_interval,omitempty"`
	Tells      bool    `json:"tells"` // the interval of the difference does not contain 0
}

// Summarise summarises the results. With two variants it uses only seeds that have both.
func (f *File) Summarise(rows []Row) (all []Summary) {
	at := map[Point]map[string]float64{}
	for _, r := range rows {
		at[r.Point] = r.Figures
	}
	for _, figure := range f.Figures {
		for _, x := range f.Values {
			s := Summary{X: x, Figure: figure}
			samples := make([][]float64, len(f.Variant))
			for i := range f.Seeds {
				pair := make([]float64, 0, 2)
				for _, v := range f.Variant {
					if got, ok := at[Point{v.Name, x, f.First + uint64(i)}]; ok {
						pair = append(pair, got[figure])
					}
				}
				if len(pair) == len(f.Variant) { // complete pairs only
					for k, y := range pair {
						samples[k] = append(samples[k], y)
					}
				}
			}
			s.Seeds = len(samples[0])
			if s.Seeds == 0 {
				continue
			}
			for k, v := range f.Variant {
				mean, half := interval(samples[k])
				s.Variants = append(s.Variants, v.Name)
				s.Means = append(s.Means, mean)
				s.Spreads = append(s.Spreads, half)
			}
			if len(samples) == 2 {
				differences := make([]float64, s.Seeds)
				for i := range differences {
					differences[i] = samples[1][i] - samples[0][i]
				}
				s.Difference, s.Interval = interval(differences)
				s.Tells = math.Abs(s.Difference) > s.Interval
			}
			all = append(all, s)
		}
	}
	return all
}

// Table writes the summaries as a table for people.
func (f *File) Table(out io.Writer, all []Summary) {
	for _, s := range all {
		fmt.Fprintf(out, "%-22s %s %-8s", s.Figure, f.Sweep, strconv.FormatFloat(s.X, 'g', -1, 64))
		for i, v := range s.Variants {
			fmt.Fprintf(out, "  %s %.4f ±%.4f", v, s.Means[i], s.Spreads[i])
		}
		if len(s.Variants) == 2 {
			fmt.Fprintf(
				out,
				"  difference %+.4f ±%.4f%s",
				s.Difference,
				s.Interval,
				map[bool]string{true: " *"}[s.Tells],
			)
		}
		fmt.Fprintf(out, "  (%d seeds)\n", s.Seeds)
	}
}
