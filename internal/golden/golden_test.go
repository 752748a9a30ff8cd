package golden

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"
)

// failureRecorder is a testing.TB that counts failures instead of reporting them.
type failureRecorder struct {
	testing.TB
	name   string
	errors int
	fatals int
}

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Name() string          { return r.name }
func (r *failureRecorder) Errorf(string, ...any) { r.errors++ }

func (r *failureRecorder) Fatal(...any) {
	r.fatals++
	runtime.Goexit()
}

// run calls a function in a goroutine that Fatal may end, and waits for it.
func (r *failureRecorder) run(function func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		function()
	}()
	<-done
}

// inFolderWithGolden changes the working directory to a new folder with the golden file testdata/sample.txt.
func inFolderWithGolden(t *testing.T, text string) {
	t.Helper()
	t.Setenv(updateVariable, "")
	t.Chdir(t.TempDir())
	if err := os.Mkdir(folder, folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "sample.txt"), []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
}

func TestCompare(t *testing.T) {
	tests := []struct {
		name           string
		golden         string
		got            string
		errors, fatals int
	}{
		{"equal", "sample", "one\ntwo\n", 0, 0},
		{"line differs", "sample", "one\n2\n", 1, 0},
		{"line missing", "sample", "one\n", 1, 0},
		{"last line end missing", "sample", "one\ntwo", 1, 0},
		{"no golden file", "other", "one\ntwo\n", 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFolderWithGolden(t, "one\ntwo\n")
			recorder := &failureRecorder{TB: t}
			recorder.run(func() { Compare(recorder, test.golden, test.got) })
			if recorder.errors != test.errors || recorder.fatals != test.fatals {
				t.Errorf("Compare reported %d errors and %d fatal errors, want %d and %d",
					recorder.errors, recorder.fatals, test.errors, test.fatals)
			}
		})
	}
}

func TestCompareForTest(t *testing.T) {
	inFolderWithGolden(t, "text")
	recorder := &failureRecorder{TB: t, name: "Testsample"}
	recorder.run(func() { CompareForTest(recorder, "text") })
	if recorder.errors != 0 || recorder.fatals != 0 {
		t.Errorf("CompareForTest reported %d errors and %d fatal errors, want none", recorder.errors, recorder.fatals)
	}
}

func TestUpdate(t *testing.T) {
	t.Chdir(t.TempDir())
	t.Setenv(updateVariable, "1")
	const want = "text"
	Compare(t, "new", want)
	content, err := os.ReadFile(filepath.Join(folder, "new.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != want {
		t.Errorf("golden file holds %q, want %q", content, want)
	}
}
