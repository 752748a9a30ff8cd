// Package kept compares what a test prints with a text that is kept in the repository and read by people.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Compare compares a text with testdata/NAME.txt; KEEP=1 writes it anew, to be read before it is committed.
func Compare(t testing.TB, name, now string) {
	t.Helper()
	file := filepath.Join("testdata", name+".txt")
	if os.Getenv("KEEP") != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(now), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	was, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(was), "\n"), strings.Split(now, "\n")); diff != "" {
		t.Errorf("differs from %s (-kept +now):\n%s", file, diff)
	}
}

// Trace compares a text with the one kept under the test's name.
func Trace(t testing.TB, now string) {
	t.Helper()
	Compare(t, strings.TrimPrefix(t.Name(), "Test"), now)
}
