// Package policylimit tests the operators' requirements for the policy files: the deploy file lists all of
// them, their lines are short, and the interface files contain no decisions.
package policylimit

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

const maxLineWidth = 110 // characters

// violations returns a description of each line that is too long in the named files. It also reports if the
// files have no lines other than blank ones.
func violations(names []string, texts map[string]string) []string {
	var found []string
	nonBlank := 0
	for _, name := range names {
		for i, line := range strings.Split(texts[name], "\n") {
			if strings.TrimSpace(line) != "" {
				nonBlank++
			}
			if n := utf8.RuneCountInString(line); n > maxLineWidth {
				found = append(found, fmt.Sprintf("%s:%d: %d characters, at most %d", name, i+1, n, maxLineWidth))
			}
		}
	}
	if nonBlank == 0 {
		found = append(found, "no policy lines found")
	}
	return found
}

var (
	policyKey = regexp.MustCompile(`(?m)^policy\s*=\s*\[([^\]]*)\]`)
	quoted    = regexp.MustCompile(`"([^"]+)"`)
)

// policyFiles returns the names of the policy files that the text of the deploy file lists.
func policyFiles(deploy string) []string {
	var names []string
	if m := policyKey.FindStringSubmatch(deploy); m != nil {
		for _, q := range quoted.FindAllStringSubmatch(m[1], -1) {
			names = append(names, q[1])
		}
	}
	return names
}

// interfaceFiles are the files of the package policy that declare its interface and contain no decisions. The
// list is explicit so that a new file counts as a policy file by default.
var interfaceFiles = []string{"actions.go", "api.go", "events.go", "settings.go"}

// packageFiles returns the sorted names of the files of package policy, except interface files and tests.
// The deploy file has to list all of them, as no decision may be made outside the policy files.
func packageFiles(root string) ([]string, error) {
	for _, name := range interfaceFiles {
		if _, err := os.Stat(filepath.Join(root, "policy", name)); err != nil {
			return nil, err
		}
	}
	all, err := filepath.Glob(filepath.Join(root, "policy", "*.go"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, path := range all {
		base := filepath.Base(path)
		if !slices.Contains(interfaceFiles, base) && !strings.HasSuffix(base, "_test.go") {
			names = append(names, "policy/"+base)
		}
	}
	return names, nil
}

// TestPolicyFilesKeepLimits checks that the deploy file lists every policy file and that no line is too long.
func TestPolicyFilesKeepLimits(t *testing.T) {
	root := filepath.Join("..", "..")
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	names := policyFiles(string(deploy))
	want, err := packageFiles(root)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(names, want) {
		t.Errorf("the deploy file lists the policy files %v, want all files except the interface files: %v", names, want)
	}
	texts := map[string]string{}
	for _, n := range names {
		b, err := os.ReadFile(filepath.Join(root, n))
		if err != nil {
			t.Fatal(err)
		}
		texts[n] = string(b)
	}
	for _, v := range violations(names, texts) {
		t.Error(v)
	}
}

func TestViolations(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"any number of lines", strings.Repeat("x\n\n", 10_000), 0},
		{"as wide as allowed, in characters", strings.Repeat("ä", maxLineWidth), 0},
		{"too wide", strings.Repeat("ä", maxLineWidth+1), 1},
		{"empty", "\n\n", 1},
	} {
		if got := violations([]string{"f"}, map[string]string{"f": c.text}); len(got) != c.want {
			t.Errorf("%s: %v, want %d violations", c.name, got, c.want)
		}
	}
}

// TestInterfaceFilesDecideNothing checks that the interface files do not refer to the engine's state. Code
// that makes decisions needs that state.
func TestInterfaceFilesDecideNothing(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, name := range interfaceFiles {
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "policy", name), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, use := range stateUses(file) {
			t.Errorf("policy/%s refers to %s", name, use)
		}
	}
}

// stateUses returns the names of the engine's state types that a file refers to, once for each reference.
func stateUses(file *ast.File) []string {
	state := []string{"Engine", "attempt", "cache", "outcome", "request"}
	var uses []string
	ast.Inspect(file, func(node ast.Node) bool {
		if identifier, ok := node.(*ast.Ident); ok && slices.Contains(state, identifier.Name) {
			uses = append(uses, identifier.Name)
		}
		return true
	})
	return uses
}

func TestStateUsesAreFound(t *testing.T) {
	for text, want := range map[string]int{
		"package policy\n\ntype Send struct{ ID int64 }":                        0,
		"package policy\n\nfunc (e *Engine) decide() {}":                        1,
		"package policy\n\nfunc pick(c *cache, req *request) bool { return 1 }": 2,
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "f.go", text, 0)
		if err != nil {
			t.Fatal(err)
		}
		if uses := stateUses(file); len(uses) != want {
			t.Errorf("%q: found %v, want %d", text, uses, want)
		}
	}
}
