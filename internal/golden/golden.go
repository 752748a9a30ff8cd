// Package golden compares the output of tests with golden files: text files in testdata that people read and review.
// It is for tests only, and writes files only if the environment variable KEEP is set.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	// updateVariable is the environment variable that, when not empty, makes Compare overwrite the golden files. Review
	// their diff before committing it.
	updateVariable = "KEEP"

	folder     = "testdata"
	folderMode = 0o755
	fileMode   = 0o644
)

// Compare fails the test if a text differs from the golden file testdata/NAME.txt, and shows the lines that differ.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	file := filepath.Join(folder, name+".txt")
	if os.Getenv(updateVariable) != "" {
		update(t, file, got)
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("differs from %s (-golden +got):\n%s", file, diff)
	}
}

// CompareForTest compares a text with the golden file that is named after the test, without the prefix "Test".
func CompareForTest(t testing.TB, got string) {
	t.Helper()
	Compare(t, strings.TrimPrefix(t.Name(), "Test"), got)
}

func update(t testing.TB, file, got string) {
	t.Helper()
	if err := os.MkdirAll(folder, folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(got), fileMode); err != nil {
		t.Fatal(err)
	}
}
