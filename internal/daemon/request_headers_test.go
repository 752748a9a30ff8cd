package daemon

import (
	"net/textproto"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestEntityTags(t *testing.T) {
	tests := []struct {
		name     string
		lines    []string
		tags     []string
		matchAny bool
	}{
		{"absent", nil, nil, false},
		{"one", []string{`"a-1"`}, []string{"a-1"}, false},
		{"weak", []string{`W/"a-1"`}, []string{"a-1"}, false},
		{"empty tag", []string{`""`}, []string{""}, false},
		{"list", []string{`"a-1", W/"b-2"`}, []string{"a-1", "b-2"}, false},
		{"several lines", []string{`"a-1"`, ` "b-2" `}, []string{"a-1", "b-2"}, false},
		{"any", []string{" * "}, nil, true},
		{"without quotes", []string{"a-1"}, nil, false},
		{"without the end", []string{`"a-1", "b`}, []string{"a-1"}, false},
		{"only the first quote", []string{`"`}, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tags, matchAny := entityTags(textproto.MIMEHeader{"If-None-Match": test.lines})
			if diff := cmp.Diff(test.tags, tags); diff != "" || matchAny != test.matchAny {
				t.Errorf("matchAny %t, want %t; tags (-want +got):\n%s", matchAny, test.matchAny, diff)
			}
		})
	}
}

func TestPreferredWait(t *testing.T) {
	tests := []struct {
		name    string
		lines   []string
		seconds float64
		ok      bool
	}{
		{"absent", nil, 0, false},
		{"alone", []string{"wait=20"}, 20, true},
		{"among others", []string{"respond-async, Wait = 5 ; x=1"}, 5, true},
		{"quoted", []string{`wait="7"`}, 7, true},
		{"the first counts", []string{"wait=1", "wait=2"}, 1, true},
		{"a fraction", []string{"wait=1.5"}, 0, false},
		{"negative", []string{"wait=-1"}, 0, false},
		{"without a value", []string{"wait"}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seconds, ok := preferredWait(textproto.MIMEHeader{"Prefer": test.lines})
			if seconds != test.seconds || ok != test.ok {
				t.Errorf("preferredWait(%q) = %g, %t, want %g, %t", test.lines, seconds, ok, test.seconds, test.ok)
			}
		})
	}
}

func TestAcceptsManipulation(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		want  bool
	}{
		{"absent", nil, false},
		{"alone", []string{"merge-patch"}, true},
		{"another", []string{"gzip"}, false},
		{"among others", []string{"gzip, Merge-Patch"}, true},
		{"in a later line", []string{"gzip", "merge-patch"}, true},
		{"with a weight", []string{"merge-patch;q=0.5"}, true},
		{"with weight 0", []string{"merge-patch;q=0"}, false},
		{"with a weight that is no number", []string{"merge-patch;q=x"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := acceptsManipulation(textproto.MIMEHeader{"A-Im": test.lines}, mergePatch); got != test.want {
				t.Errorf("acceptsManipulation(%q) = %t, want %t", test.lines, got, test.want)
			}
		})
	}
}
