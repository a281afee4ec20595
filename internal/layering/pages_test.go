package layering

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pathPattern matches a path of the repository that a page quotes.
var pathPattern = regexp.MustCompile("`((?:docs|internal|cmd|sim|deploy)(?:/[A-Za-z0-9_.-]+)*/?)`")

// A newcomer follows the first pages by the paths that they name.
func TestFirstPagesNameExistingPaths(t *testing.T) {
	for _, page := range []string{"README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		paths := pathPattern.FindAllStringSubmatch(string(text), -1)
		if len(paths) == 0 {
			t.Errorf("%s names no path", page)
		}
		for _, match := range paths {
			if _, err := os.Stat(filepath.Join(root, strings.TrimSuffix(match[1], "/"))); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}
