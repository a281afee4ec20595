// Package layering holds the rules of docs/ARCHITECTURE.md on which package may import which.
package layering

import (
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const (
	root   = "../.."
	module = "mothcleat/"
)

// purePackages make decisions: they get time and randomness from their callers and do no I/O, so
// that the emulator plays them as they are.
var purePackages = []string{
	"internal/controlplane/allocation",
	"internal/controlplane/auditlog",
	"internal/controlplane/checkpoint",
	"internal/controlplane/configstate",
	"internal/controlplane/configversion",
	"internal/controlplane/consensus",
	"internal/controlplane/distribution",
	"internal/controlplane/endpointlist",
	"internal/controlplane/lease",
	"internal/controlplane/planconfig",
	"internal/controlplane/usageexport",
	"internal/dataplane/authz",
	"internal/dataplane/lifecycle",
	"internal/dataplane/membership",
	"internal/dataplane/policy",
	"internal/plans",
}

// impureImports are what a pure package must not import, with all below them.
var impureImports = []string{
	"net",
	"os",
	"syscall",
	"golang.org/x/sys",
	"google.golang.org/grpc",
	"log",
}

// ambientTime are the functions of package time that read a clock or wait.
var ambientTime = []string{
	"After", "AfterFunc", "NewTicker", "NewTimer", "Now", "Since", "Sleep", "Tick", "Until",
}

// seededRandom are the functions of math/rand/v2 that do not draw from the process's own source.
var seededRandom = []string{"New", "NewChaCha8", "NewPCG", "NewZipf"}

// file is a source file that is no test, with its imports by their local name.
type file struct {
	name    string // slash-separated, from the module's root
	syntax  *ast.File
	imports map[string]string
}

func (f *file) folder() string { return path.Dir(f.name) }

// skippedFolders hold no sources of the module.
var skippedFolders = []string{"testdata", ".git", "journal"}

func isSource(name string) bool {
	return strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go")
}

// sources returns all source files of the module that are no tests.
func sources(t *testing.T) (all []*file) {
	t.Helper()
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(skippedFolders, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !isSource(name):
			return nil
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		one, err := parse(name, filepath.ToSlash(relative))
		all = append(all, one)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < 100 {
		t.Fatalf("%d source files: the module's root was not found", len(all))
	}
	return all
}

func parse(path, name string) (*file, error) {
	syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	f := &file{name: name, syntax: syntax, imports: map[string]string{}}
	for _, spec := range syntax.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		f.imports[localName(spec, imported)] = imported
	}
	return f, nil
}

// localName returns the name by which a file refers to a package of the standard library, or the
// alias it gives one.
func localName(spec *ast.ImportSpec, imported string) string {
	if spec.Name != nil {
		return spec.Name.Name
	}
	if imported == "math/rand/v2" {
		return "rand"
	}
	return path.Base(imported)
}

// below reports whether an import path is a package or lies below it.
func below(imported, parent string) bool {
	return imported == parent || strings.HasPrefix(imported, parent+"/")
}

func TestPurePackagesDoNoIO(t *testing.T) {
	seen := map[string]bool{}
	for _, f := range sources(t) {
		if !slices.Contains(purePackages, f.folder()) {
			continue
		}
		seen[f.folder()] = true
		for _, imported := range f.imports {
			for _, impure := range impureImports {
				if below(imported, impure) {
					t.Errorf("%s imports %s", f.name, imported)
				}
			}
		}
		for _, call := range ambientCalls(f) {
			t.Errorf("%s uses %s: time and randomness are arguments", f.name, call)
		}
	}
	for _, name := range purePackages {
		if !seen[name] {
			t.Errorf("%s: no such package", name)
		}
	}
}

// ambientCalls returns the uses of the clock and of the process's own random numbers.
func ambientCalls(f *file) (calls []string) {
	ast.Inspect(f.syntax, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		qualifier, ok := selector.X.(*ast.Ident)
		if !ok {
			return true
		}
		name := selector.Sel.Name
		switch f.imports[qualifier.Name] {
		case "time":
			if slices.Contains(ambientTime, name) {
				calls = append(calls, "time."+name)
			}
		case "math/rand/v2":
			isFunction := name != "Rand" && name != "Source" && name != "PCG" && name != "Zipf" &&
				name != "ChaCha8"
			if isFunction && !slices.Contains(seededRandom, name) {
				calls = append(calls, "rand."+name)
			}
		}
		return true
	})
	return calls
}

// mayNotImport lists groups of packages and what they must not import.
var mayNotImport = []struct {
	from, to, reason string
}{
	{
		"internal/dataplane",
		"internal/controlplane",
		"the data plane runs without the control plane",
	},
	{"internal/storage", "internal/dataplane", "storage knows nothing of what it stores"},
	{"internal/storage", "internal/controlplane", "storage knows nothing of what it stores"},
	{
		"internal/controlplane/lease",
		"internal/controlplane",
		"leases know nothing of what is leased",
	},
	{
		"internal/controlplane/consensus",
		"internal/controlplane/allocation",
		"state machines register with the log",
	},
	{
		"internal/controlplane/consensus",
		"internal/controlplane/configversion",
		"state machines register with the log",
	},
	{
		"internal/controlplane/consensus",
		"internal/controlplane/distribution",
		"state machines register with the log",
	},
	{
		"internal/controlplane/consensus",
		"internal/controlplane/usageexport",
		"state machines register with the log",
	},
	{
		"internal/controlplane/consensus",
		"internal/controlplane/checkpoint",
		"state machines register with the log",
	},
}

func TestLayersImportOnlyDownwards(t *testing.T) {
	for _, f := range sources(t) {
		for _, imported := range f.imports {
			for _, rule := range mayNotImport {
				if below(f.folder(), rule.from) && below(imported, module+rule.to) &&
					imported != module+f.folder() {
					t.Errorf("%s imports %s: %s", f.name, imported, rule.reason)
				}
			}
		}
	}
}

func TestOnlyRigsImportTestSupport(t *testing.T) {
	rigs := []string{"internal/testing", "sim", "cmd/lab"}
	for _, f := range sources(t) {
		if slices.ContainsFunc(rigs, func(rig string) bool { return below(f.folder(), rig) }) {
			continue
		}
		for _, imported := range f.imports {
			if below(imported, module+"internal/testing") || below(imported, module+"sim") ||
				imported == "testing" {
				t.Errorf("%s imports %s", f.name, imported)
			}
		}
	}
}

// The platform judges the program by the files that the deploy file names: it has to name all of
// them.
func TestDeployFileNamesAllSources(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy, Node []string }
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		t.Fatal(err)
	}
	const policy = "internal/dataplane/policy"
	var policyFiles []string
	for _, f := range sources(t) {
		if f.folder() == policy {
			policyFiles = append(policyFiles, f.name)
		}
	}
	named := slices.Sorted(slices.Values(deploy.Policy))
	slices.Sort(policyFiles)
	if !slices.Equal(named, policyFiles) {
		t.Errorf("policy: %v, %v wanted", named, policyFiles)
	}
	for _, used := range dependencies(t, "cmd/mothcleat") {
		inNode := slices.ContainsFunc(
			deploy.Node,
			func(folder string) bool { return below(used, folder) },
		)
		if used != policy && !inNode {
			t.Errorf("node: %s is missing", used)
		}
	}
	for _, folder := range deploy.Node {
		if _, err := os.Stat(filepath.Join(root, folder)); err != nil {
			t.Errorf("node: %v", err)
		}
	}
}

// dependencies returns the folders of the module that the platform's build of a program is made of.
func dependencies(t *testing.T, program string) (folders []string) {
	t.Helper()
	context := build.Default
	context.BuildTags = []string{"nofleet"}
	var visit func(folder string)
	visit = func(folder string) {
		if slices.Contains(folders, folder) {
			return
		}
		folders = append(folders, folder)
		found, err := context.ImportDir(filepath.Join(root, folder), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, imported := range found.Imports {
			if below(imported, strings.TrimSuffix(module, "/")) {
				visit(strings.TrimPrefix(imported, module))
			}
		}
	}
	visit(program)
	return folders
}
