package interner

import (
	"slices"
	"testing"
)

// A name keeps its index while it is in use, and a released index is given out again, the lowest first.
func TestIndexReuse(t *testing.T) {
	names := New()
	for want, name := range []string{"a", "b", "c", "d"} {
		if got := names.Index(name); got != want {
			t.Errorf("%s has index %d, want %d", name, got, want)
		}
	}
	if got := names.Index("b"); got != 1 {
		t.Errorf("b has index %d when asked again, want 1", got)
	}
	names.Release("c")
	names.Release("a")
	names.Release("unknown")
	if want := []string{"", "b", "", "d"}; !slices.Equal(names.Names, want) {
		t.Errorf("after the release the names are %q, want %q", names.Names, want)
	}
	for _, test := range []struct {
		name string
		want int
	}{{"e", 0}, {"f", 2}, {"g", 4}} {
		if got := names.Index(test.name); got != test.want {
			t.Errorf("%s has index %d, want %d", test.name, got, test.want)
		}
	}
	if len(names.IndexOf) != 5 {
		t.Errorf("%d names have an index, want 5", len(names.IndexOf))
	}
}
