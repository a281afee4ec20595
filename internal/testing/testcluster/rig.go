// Package testcluster is a fleet of real gateways between stand-ins, with a link of its own between
// every two of them, for scenarios that have links and processes fail. It knows nothing of what the
// gateways decide.
package testcluster

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/testing/faultproxy"
	"mothcleat/internal/testing/lab"
)

// FleetName is what a rig's fleet is called.
const FleetName = "rig"

// Options say what a fleet is made of.
type Options struct {
	Seed      uint64
	Instances int
	Voters    int // the first so many; 0: three, or five of seven and more
	Load      float64
	Servers   int                // 0: ten
	Bin       string             // built with the tag faults; "": it is built
	Consul    bool               // the register is Consul, which one gateway watches for all
	Fleet     string             // further lines of [fleet]
	Operators string             // further tables
	Env       func(i int) string // a variable more for each gateway; nil: none
	Log       io.Writer
}

// Fleet is a fleet that runs.
type Fleet struct {
	*lab.World
	Links   [][]*faultproxy.Link // from one gateway to another; nil at [i][i]
	Own     []string             // where each gateway listens for the others
	Exports string
	Bin     string
	opt     Options
	remove  func()
}

// Build compiles the gateway with its faults.
func Build(ctx context.Context) (bin string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "mothcleat-rig-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	if bin, err = lab.BuildTagged(ctx, dir, "faults"); err != nil {
		remove()
	}
	return bin, remove, err
}

// fleetsAtOnce is how many of a package's tests run beside one another, however few cores there
// are: a fleet of a few gateways mostly waits.
const fleetsAtOnce = "4"

// Main builds the gateway for a package's tests, runs them, and gives the exit code.
func Main(bin *string, run func() int) int {
	flag.Parse()
	if err := flag.Set("test.parallel", fleetsAtOnce); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	b, remove, err := Build(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	*bin = b
	return run()
}

// New founds a fleet and starts it.
func New(ctx context.Context, o Options) (f *Fleet, err error) {
	if o.Voters == 0 {
		if o.Voters = 3; o.Instances >= 7 {
			o.Voters = 5
		}
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	f = &Fleet{opt: o, remove: func() {}}
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	if o.Bin == "" {
		if o.Bin, f.remove, err = Build(ctx); err != nil {
			return f, err
		}
	}
	f.Bin = o.Bin
	f.World, err = lab.NewWorld(
		ctx,
		lab.Options{
			Seed:      o.Seed,
			Gateways:  o.Instances,
			Servers:   o.Servers,
			Load:      o.Load,
			Bin:       o.Bin,
			Log:       o.Log,
			Admin:     true,
			Consul:    o.Consul,
			Operators: "#\n",
			Prepare:   f.prepare,
		},
	)
	return f, err
}

// prepare gives a gateway its links, its operators' file and its folder.
func (f *Fleet) prepare(w *lab.World, g *lab.Gateway) error {
	if f.Own == nil {
		f.Exports = filepath.Join(w.Dir, "exports")
		if err := os.MkdirAll(f.Exports, 0o700); err != nil {
			return err
		}
		n := f.opt.Instances
		for i := range n {
			own, err := w.Address(100 + i)
			if err != nil {
				return err
			}
			f.Own = append(f.Own, own)
		}
		for i := range n {
			f.Links = append(f.Links, make([]*faultproxy.Link, n))
			for j := range n {
				if i == j {
					continue
				}
				host, _, err := net.SplitHostPort(f.Own[j])
				if err != nil {
					return err
				}
				if f.Links[i][j], err = faultproxy.New(
					net.JoinHostPort(host, "0"),
					f.Own[j],
					f.opt.Seed+uint64(i*n+j),
				); err != nil {
					return err
				}
			}
		}
	}
	if f.opt.Env != nil {
		g.SetEnv(f.opt.Env(g.Number))
	}
	text := f.Operators(g.Number)
	if f.opt.Consul {
		text += fmt.Sprintf(
			"[register]\nsource = \"consul\"\nservice = \"quotes\"\nagents = [%q]\nwait = \"2s\"\n",
			w.Consul.Agent(g.Number).Address,
		)
	}
	if err := os.WriteFile(
		filepath.Join(g.Dir(), "operators.toml"),
		[]byte(text),
		0o600,
	); err != nil {
		return err
	}
	if g.Number >= f.opt.Voters {
		return nil
	}
	return f.Command(
		g.Number,
		nil,
		"fleet",
		"found",
		Name(g.Number),
		"--operators",
		"operators.toml",
	)
}

// Name is a gateway's name.
func Name(i int) string { return fmt.Sprintf("n%d", i) }

// Operators is the operators' file of a gateway.
func (f *Fleet) Operators(i int) string {
	var voters, ways []string
	for j := range f.opt.Voters {
		voters = append(voters, fmt.Sprintf("{ name = %q, address = %q }", Name(j), f.Own[j]))
	}
	for j, l := range f.Links[i] {
		if l != nil {
			ways = append(ways, fmt.Sprintf("%q = %q", Name(j), l.Address()))
		}
	}
	more := f.opt.Fleet
	if f.opt.Consul {
		more += "\nwatch = true"
	}
	return fmt.Sprintf(
		"[fleet]\non = true\nname = %q\nlisten = %q\nfolder = \"fleet\"\nvoters = [%s]\n"+
			"addresses = { %s }\nexports = %q\nperiod = \"1s\"\n%s\n%s",
		FleetName,
		f.Own[i],
		strings.Join(voters, ", "),
		strings.Join(ways, ", "),
		f.Exports,
		more,
		f.opt.Operators,
	)
}

// Command runs the program in a gateway's folder and reads what it prints.
func (f *Fleet) Command(i int, out io.Writer, args ...string) error {
	cmd := exec.Command(f.Bin, args...)
	cmd.Dir = f.dir(i)
	var errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = out, &errs
	if err := cmd.Run(); err != nil {
		return fmt.Errorf(
			"mothcleat %s: %w: %s",
			strings.Join(args, " "),
			err,
			strings.TrimSpace(errs.String()),
		)
	}
	return nil
}

func (f *Fleet) dir(i int) string {
	// while the world is being made its list of gateways is not whole yet
	return filepath.Join(filepath.Dir(f.Exports), Name(i))
}

// Call has a gateway's admin interface answer a call about the fleet.
func (f *Fleet) Call(i int, line string, into any) error {
	return f.Gateways[i].CallFleet(line, callTimeout, into)
}

// callTimeout is how long a gateway may take to answer a call.
const callTimeout = 3 * time.Second

// Voters are the founding voters, at their own addresses: what a client of the rig's asks.
func (f *Fleet) Voters() (all []*controlpb.Voter) {
	for i := range f.opt.Voters {
		all = append(
			all,
			&controlpb.Voter{
				Number:  replica.BootstrapNumber(FleetName, Name(i)),
				Name:    Name(i),
				Address: f.Own[i],
			},
		)
	}
	return all
}

// Addresses are where the gateways are reached from one of them; from -1: by the rig, past all
// links.
func (f *Fleet) Addresses(from int) controlrpc.Addresses {
	a := controlrpc.Addresses{}
	for j := range f.Own {
		a[Name(j)] = f.Own[j]
		if from >= 0 && from != j {
			a[Name(j)] = f.Links[from][j].Address()
		}
	}
	return a
}

// Isolate cuts a gateway off from all others, or ends that: to = only what it sends, from = only
// what it hears.
func (f *Fleet) Isolate(i int, to, from, yes bool) {
	for j := range f.Links {
		if i == j {
			continue
		}
		// What i says goes There on its own connections, and Back on those of others.
		if to {
			f.Links[i][j].Set(faultproxy.Upstream, faultproxy.Conditions{Cut: yes})
			f.Links[j][i].Set(faultproxy.Downstream, faultproxy.Conditions{Cut: yes})
		}
		if from {
			f.Links[i][j].Set(faultproxy.Downstream, faultproxy.Conditions{Cut: yes})
			f.Links[j][i].Set(faultproxy.Upstream, faultproxy.Conditions{Cut: yes})
		}
	}
}

// Between cuts the links between two gateways, or ends that.
func (f *Fleet) Between(i, j int, yes bool) {
	f.Links[i][j].Cut(yes)
	f.Links[j][i].Cut(yes)
}

// Heal ends all that was done to links.
func (f *Fleet) Heal() {
	for i := range f.Links {
		for j := range f.Links[i] {
			if i != j {
				f.Links[i][j].Cut(false)
			}
		}
	}
}

// passed is what all links have carried, and how many pieces had to wait at cut ones.
func (f *Fleet) passed() (bytes int64, held int) {
	for i := range f.Links {
		for _, l := range f.Links[i] {
			if l == nil {
				continue
			}
			for _, d := range []faultproxy.Direction{faultproxy.Upstream, faultproxy.Downstream} {
				b, h := l.Forwarded(d)
				bytes, held = bytes+b, held+h
			}
		}
	}
	return bytes, held
}

// Held is how many pieces had to wait at cut links so far.
func (f *Fleet) Held() int { _, held := f.passed(); return held }

// Passed is how many bytes all links have carried.
func (f *Fleet) Passed() int64 { bytes, _ := f.passed(); return bytes }

// Memory is the most that a gateway's process was seen to hold, in MB: by those that run, and those
// that were signalled.
func (f *Fleet) Memory() (most float64) {
	for _, g := range f.Gateways {
		most = max(most, g.Memory())
	}
	return most
}

// Stop stops a process as it is; Wake has it go on.
func (f *Fleet) Stop(i int) error { return f.Gateways[i].Signal(syscall.SIGSTOP) }

// Wake has a stopped process go on.
func (f *Fleet) Wake(i int) error { return f.Gateways[i].Signal(syscall.SIGCONT) }

// Stopped tells whether a process lies stopped.
func (f *Fleet) Stopped(i int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.Gateways[i].PID()))
	if err != nil {
		return false
	}
	at := bytes.LastIndexByte(raw, ')')
	return at >= 0 && at+2 < len(raw) && raw[at+2] == 'T'
}

const exitTimeout = 20 * time.Second

// End ends a process with SIGKILL or SIGTERM and waits until it is gone.
func (f *Fleet) End(i int, s syscall.Signal) error {
	if err := f.Gateways[i].Signal(s); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	return f.Gateways[i].WaitForExit(ctx)
}

// Begin starts a gateway's process anew and waits until it serves.
func (f *Fleet) Begin(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	return f.World.Start(ctx, f.Gateways[i])
}

// FleetDir is a gateway's folder of the fleet.
func (f *Fleet) FleetDir(i int) string { return filepath.Join(f.dir(i), "fleet") }

// Save copies a gateway's folder as it is, while its process may run; Restore puts the copy in its
// place.
//
// It is a copy of one moment: a file that grew while others were copied would make it a damaged
// folder, not an older one.
func (f *Fleet) Save(i int) error {
	to := filepath.Join(f.dir(i), "older")
	for range maxSaves {
		err := errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(f.FleetDir(i))))
		if errors.Is(err, fs.ErrNotExist) {
			continue // a file went meanwhile
		}
		if err != nil {
			return err
		}
		if same, err := sameFiles(to, f.FleetDir(i)); same || err != nil {
			return err
		}
	}
	return fmt.Errorf("folder of %s: not still for the time of a copy", Name(i))
}

const maxSaves = 1000

// sameFiles tells whether two folders hold the same.
func sameFiles(a, b string) (bool, error) {
	one, err := contents(a)
	if err != nil {
		return false, err
	}
	other, err := contents(b)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return maps.Equal(one, other), err
}

// contents are a folder's files by their paths in it.
func contents(dir string) (map[string]string, error) {
	files := map[string]string{}
	err := fs.WalkDir(os.DirFS(dir), ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := os.ReadFile(filepath.Join(dir, path))
		files[path] = string(text)
		return err
	})
	return files, err
}

// Restore puts what Save copied in the place of what the folder holds. The folders stay the same
// ones, as when a disk is put back whole: only what they hold is older.
func (f *Fleet) Restore(i int) error {
	err := filepath.WalkDir(f.FleetDir(i), func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		return os.Remove(path)
	})
	return errors.Join(err, os.CopyFS(f.FleetDir(i), os.DirFS(filepath.Join(f.dir(i), "older"))))
}

// Copy puts a copy of a gateway's folder in the place of another's.
func (f *Fleet) Copy(from, to int) error {
	return errors.Join(
		os.RemoveAll(f.FleetDir(to)),
		os.CopyFS(f.FleetDir(to), os.DirFS(f.FleetDir(from))),
	)
}

// Empty removes a gateway's folder.
func (f *Fleet) Empty(i int) error { return os.RemoveAll(f.FleetDir(i)) }

// Close ends everything.
func (f *Fleet) Close() {
	if f.World != nil {
		f.World.Close()
	}
	for i := range f.Links {
		for _, l := range f.Links[i] {
			if l != nil {
				l.Close()
			}
		}
	}
	f.remove()
}

// Pass waits for a while, and tells whether the context is still there.
func Pass(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
