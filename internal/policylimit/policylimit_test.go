// Package policylimit tests the size limits that the operators put on the
// policy files: what two of their engineers can read in an hour.
package policylimit

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	maxLines     = 1200 // non-blank, over all policy files, comments too
	maxLineWidth = 110  // characters
)

// violations describes each violation of a limit by the named files with the given texts.
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
	if nonBlank > maxLines {
		found = append(found, fmt.Sprintf("%d non-blank lines in %v, at most %d", nonBlank, names, maxLines))
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

// policyFiles reads the names of the policy files from the text of the deploy file.
func policyFiles(deploy string) []string {
	var names []string
	if m := policyKey.FindStringSubmatch(deploy); m != nil {
		for _, q := range quoted.FindAllStringSubmatch(m[1], -1) {
			names = append(names, q[1])
		}
	}
	return names
}

// packageFiles names the files of package policy, in order, without its interface and its tests: no decision may
// be made outside the policy files.
func packageFiles(root string) ([]string, error) {
	all, err := filepath.Glob(filepath.Join(root, "policy", "*.go"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, path := range all {
		if base := filepath.Base(path); base != "api.go" && !strings.HasSuffix(base, "_test.go") {
			names = append(names, "policy/"+base)
		}
	}
	return names, nil
}

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
		t.Errorf("policy files are %v, want all of the package but its interface: %v", names, want)
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
		{"as long as allowed", strings.Repeat("x\n\n", maxLines), 0},
		{"a line too many", strings.Repeat("x\n\n", maxLines+1), 1},
		{"as wide as allowed, in characters", strings.Repeat("ä", maxLineWidth), 0},
		{"too wide", strings.Repeat("ä", maxLineWidth+1), 1},
		{"empty", "\n\n", 1},
	} {
		if got := violations([]string{"f"}, map[string]string{"f": c.text}); len(got) != c.want {
			t.Errorf("%s: %v, want %d violations", c.name, got, c.want)
		}
	}
}
