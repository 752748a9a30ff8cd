package auth

import (
	"errors"
	"strings"
	"testing"
)

// TestNewRuleErrors checks that invalid rules are rejected with their ID and the reason. wantText is the whole text of
// the error, or its beginning where the spiffeid package writes the rest.
func TestNewRuleErrors(t *testing.T) {
	tests := []struct {
		name     string
		id       string
		allowed  []Action
		wantText string
	}{
		{"no scheme", "race.example/x", []Action{See}, `"race.example/x" does not begin with spiffe://`},
		{"no path", "spiffe://race.example", []Action{See},
			`"spiffe://race.example": the path is missing: a trust domain alone identifies no caller`},
		{"capital in the trust domain", "spiffe://Race.example/x", []Action{See}, `"spiffe://Race.example/x": `},
		{"port", "spiffe://race.example:80/x", []Action{See}, `"spiffe://race.example:80/x": `},
		{"empty segment", "spiffe://race.example/x/", []Action{See}, `"spiffe://race.example/x/": segment "": `},
		{"query", "spiffe://race.example/x?y", []Action{See}, `"spiffe://race.example/x?y": segment "x?y": `},
		{"dots", "spiffe://race.example/../x", []Action{See}, `"spiffe://race.example/../x": segment "..": `},
		{"unknown capture", "spiffe://race.example/{who}", []Action{See},
			`"spiffe://race.example/{who}": segment "{who}": `},
		{"no action", "spiffe://race.example/x", nil, `"spiffe://race.example/x": no actions are listed`},
		{"poll for any proxy", "spiffe://race.example/forwarder/{zone}", []Action{Poll},
			`"spiffe://race.example/forwarder/{zone}": poll needs {proxy} in the path, or * for any`},
		{"report for any host", "spiffe://race.example/host", []Action{Report},
			`"spiffe://race.example/host": report needs {host} in the path, or * for any`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewRule(test.id, test.allowed)
			var ruleError *RuleError
			if !errors.As(err, &ruleError) {
				t.Fatalf("got error %v, want a *RuleError", err)
			}
			if ruleError.ID != test.id || errors.Unwrap(err) == nil {
				t.Errorf("got ID %q, cause %v, want ID %q and a cause", ruleError.ID, ruleError.Err, test.id)
			}
			checkText(t, err, test.wantText)
		})
	}
}

// checkText checks an error's text, or its beginning if the wanted one ends with a colon and a space.
func checkText(t *testing.T, err error, want string) {
	t.Helper()
	got := err.Error()
	if strings.HasSuffix(want, ": ") && len(got) > len(want) {
		got = got[:len(want)]
	}
	if got != want {
		t.Errorf("got error text %q, want %q", err, want)
	}
}

// TestRuleErrorCauses checks that the causes of a RuleError are found by errors.Is and errors.As.
func TestRuleErrorCauses(t *testing.T) {
	for id, want := range map[string]error{"race.example/x": ErrNoScheme, "spiffe://race.example": ErrNoPath} {
		if _, err := NewRule(id, []Action{See}); !errors.Is(err, want) {
			t.Errorf("%q: got error %v, want %v", id, err, want)
		}
	}
	if _, err := NewRule("spiffe://race.example/x", nil); !errors.Is(err, ErrNoAction) {
		t.Errorf("got error %v, want %v", err, ErrNoAction)
	}
	var segment *SegmentError
	if _, err := NewRule("spiffe://race.example/a/..", []Action{See}); !errors.As(err, &segment) {
		t.Errorf("got error %v, want a *SegmentError", err)
	} else if segment.Segment != ".." || segment.Unwrap() == nil {
		t.Errorf("got segment %q, cause %v, want segment \"..\" and a cause", segment.Segment, segment.Err)
	}
	var missing *MissingCaptureError
	if _, err := NewRule("spiffe://race.example/x", []Action{Stats}); !errors.As(err, &missing) {
		t.Errorf("got error %v, want a *MissingCaptureError", err)
	} else if missing.Action != Stats || missing.Capture != "{proxy}" {
		t.Errorf("got action %s, capture %s, want sums, {proxy}", missing.Action, missing.Capture)
	}
}

func TestParseAction(t *testing.T) {
	for _, want := range []Action{Poll, Stats, Report, See, Set, Follow} {
		if got, err := ParseAction(string(want)); err != nil || got != want {
			t.Errorf("ParseAction(%q) = %q, error %v, want the action and no error", want, got, err)
		}
	}
	_, err := ParseAction("rule")
	var unknown *UnknownActionError
	if !errors.As(err, &unknown) || unknown.Name != "rule" {
		t.Fatalf("got error %v, want an *UnknownActionError of \"rule\"", err)
	}
	checkText(t, err, `unknown action "rule", want one of [poll sums report see set follow]`)
}

func TestHostSegment(t *testing.T) {
	tests := []struct{ name, host, want string }{
		{"IPv4", "10.0.1.1:9000", "10.0.1.1_9000"},
		{"IPv6", "[2001:db8::1]:80", "2001-db8--1_80"},
		{"host name", "web.example:80", "web.example_80"},
		{"no port", "web.example", "web.example"},
		{"empty", "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := HostSegment(test.host); got != test.want {
				t.Errorf("HostSegment(%q) = %q, want %q", test.host, got, test.want)
			}
		})
	}
}
