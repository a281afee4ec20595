// Package testcluster runs a fleet of real gateways between simulated clients and servers. Each
// pair of gateways has links of its own, so that scenarios can make links and processes fail. The
// package does not depend on what the gateways decide.
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

// FleetName is the name of a rig's fleet.
const FleetName = "rig"

// Options configure a fleet.
type Options struct {
	Seed      uint64
	Instances int
	Voters    int // the first gateways are voters; 0: 3, or 5 if Instances is at least 7
	Load      float64
	Servers   int                // 0: 10
	Bin       string             // gateway binary built with the tag faults; "": New builds it
	Consul    bool               // the register is Consul, watched by one gateway for all
	Fleet     string             // additional lines of the table [fleet]
	Operators string             // additional tables of the operators' file
	Env       func(i int) string // an additional environment variable for gateway i; nil: none
	Log       io.Writer
}

// Fleet is a running fleet.
type Fleet struct {
	*lab.World
	Links   [][]*faultproxy.Link // Links[i][j] leads from gateway i to j; nil if i is j
	Own     []string             // address at which each gateway listens for the others
	Exports string
	Bin     string
	opt     Options
	remove  func()
}

// Build compiles the gateway with the tag faults. remove deletes the binary.
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

// fleetsAtOnce is how many of a package's tests run in parallel, even on fewer cores: a fleet of a
// few gateways mostly waits.
const fleetsAtOnce = "4"

// Main builds the gateway for a package's tests, stores its path in bin, runs the tests and returns
// the exit code.
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

// New founds a fleet and starts its gateways.
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

// prepare creates the links of all gateways on its first call, writes the operators' file of a
// gateway, and founds the fleet in the folder of a voter.
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

// Name returns the name of gateway i.
func Name(i int) string { return fmt.Sprintf("n%d", i) }

// Operators returns the operators' file of gateway i.
func (f *Fleet) Operators(i int) string {
	var voters, addresses []string
	for j := range f.opt.Voters {
		voters = append(voters, fmt.Sprintf("{ name = %q, address = %q }", Name(j), f.Own[j]))
	}
	for j, l := range f.Links[i] {
		if l != nil {
			addresses = append(addresses, fmt.Sprintf("%q = %q", Name(j), l.Address()))
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
		strings.Join(addresses, ", "),
		f.Exports,
		more,
		f.opt.Operators,
	)
}

// Command runs the gateway's program with args in a gateway's folder and copies its output to out.
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
	// f.Gateways is not complete while the world is being created.
	return filepath.Join(filepath.Dir(f.Exports), Name(i))
}

// Call sends a fleet call to a gateway's admin interface and decodes the answer into into.
func (f *Fleet) Call(i int, line string, into any) error {
	return f.Gateways[i].CallFleet(line, callTimeout, into)
}

// callTimeout limits the time that a gateway may take to answer a call.
const callTimeout = 3 * time.Second

// Voters returns the founding voters at their own addresses, to which the rig's clients connect.
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

// Addresses returns the addresses under which gateway from reaches the others. If from is -1, these
// are the gateways' own addresses, which bypass all links.
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

// Isolate cuts the links of gateway i to all others if yes is set, and restores them otherwise. to
// selects what the gateway sends, from selects what it receives.
func (f *Fleet) Isolate(i int, to, from, yes bool) {
	for j := range f.Links {
		if i == j {
			continue
		}
		// What i sends goes upstream on its own connections and downstream on those of others.
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

// Between cuts the links between two gateways if yes is set, and restores them otherwise.
func (f *Fleet) Between(i, j int, yes bool) {
	f.Links[i][j].Cut(yes)
	f.Links[j][i].Cut(yes)
}

// Heal ends all cuts of links.
func (f *Fleet) Heal() {
	for i := range f.Links {
		for j := range f.Links[i] {
			if i != j {
				f.Links[i][j].Cut(false)
			}
		}
	}
}

// passed returns how many bytes all links have forwarded, and how many chunks cut links held back.
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

// Held returns how many chunks cut links have held back so far.
func (f *Fleet) Held() int { _, held := f.passed(); return held }

// Passed returns how many bytes all links have forwarded.
func (f *Fleet) Passed() int64 { bytes, _ := f.passed(); return bytes }

// Memory returns the largest memory use seen of any gateway's process, in MB. It covers running
// processes and those that were signalled.
func (f *Fleet) Memory() (most float64) {
	for _, g := range f.Gateways {
		most = max(most, g.Memory())
	}
	return most
}

// Stop suspends the process of gateway i with SIGSTOP.
func (f *Fleet) Stop(i int) error { return f.Gateways[i].Signal(syscall.SIGSTOP) }

// Wake resumes the process of gateway i with SIGCONT.
func (f *Fleet) Wake(i int) error { return f.Gateways[i].Signal(syscall.SIGCONT) }

// Stopped reports whether the process of gateway i is suspended.
func (f *Fleet) Stopped(i int) bool {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.Gateways[i].PID()))
	if err != nil {
		return false
	}
	at := bytes.LastIndexByte(raw, ')')
	return at >= 0 && at+2 < len(raw) && raw[at+2] == 'T'
}

// exitTimeout limits how long a process may take to exit, and a started one to become ready.
const exitTimeout = 20 * time.Second

// End ends the process of gateway i with a signal, SIGKILL or SIGTERM, and waits until it has
// exited.
func (f *Fleet) End(i int, s syscall.Signal) error {
	if err := f.Gateways[i].Signal(s); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	return f.Gateways[i].WaitForExit(ctx)
}

// Begin starts a new process of gateway i and waits until it is ready.
func (f *Fleet) Begin(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	return f.World.Start(ctx, f.Gateways[i])
}

// FleetDir returns the folder in which gateway i stores the state of the fleet.
func (f *Fleet) FleetDir(i int) string { return filepath.Join(f.dir(i), "fleet") }

// Save copies the fleet folder of gateway i, whose process may be running. Restore writes the copy
// back.
//
// Save repeats the copy until no file has changed meanwhile: if a file had grown while others were
// copied, the copy would be a damaged folder instead of an older one.
func (f *Fleet) Save(i int) error {
	to := filepath.Join(f.dir(i), "older")
	for range maxSaves {
		err := errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(f.FleetDir(i))))
		if errors.Is(err, fs.ErrNotExist) {
			continue // a file was removed during the copy
		}
		if err != nil {
			return err
		}
		if same, err := sameFiles(to, f.FleetDir(i)); same || err != nil {
			return err
		}
	}
	return fmt.Errorf("folder of %s kept changing during %d attempts to copy it", Name(i), maxSaves)
}

// maxSaves limits the attempts of Save to copy a folder.
const maxSaves = 1000

// sameFiles reports whether two folders have the same files with the same contents.
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

// contents returns the contents of a folder's files by their relative paths.
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

// Restore replaces the files of the folder by those that Save copied. The folders themselves are
// kept, as when a whole disk is restored from a backup: only the files are older.
func (f *Fleet) Restore(i int) error {
	err := filepath.WalkDir(f.FleetDir(i), func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		return os.Remove(path)
	})
	return errors.Join(err, os.CopyFS(f.FleetDir(i), os.DirFS(filepath.Join(f.dir(i), "older"))))
}

// Copy replaces the fleet folder of gateway to by a copy of that of gateway from.
func (f *Fleet) Copy(from, to int) error {
	return errors.Join(
		os.RemoveAll(f.FleetDir(to)),
		os.CopyFS(f.FleetDir(to), os.DirFS(f.FleetDir(from))),
	)
}

// Empty removes the fleet folder of gateway i.
func (f *Fleet) Empty(i int) error { return os.RemoveAll(f.FleetDir(i)) }

// Close ends all processes and links, and removes the binary if New built it.
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

// Pass waits for d and returns true. If the context ends first, it returns false.
func Pass(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
