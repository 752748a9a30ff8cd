package auth

import (
	"fmt"
	"strings"
	"testing"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"pgregory.net/rapid"

	"barleysail/internal/golden"
)

// newTestPolicy returns a policy with a rule for each kind of caller, and one for the proxies of a second trust domain.
func newTestPolicy(t *testing.T) *Policy {
	t.Helper()
	return NewPolicy(
		mustRule(t, "spiffe://race.example/forwarder/{zone}/{proxy}", Poll, Stats),
		mustRule(t, "spiffe://race.example/host/{host}", Report),
		mustRule(t, "spiffe://race.example/operator/*", See, Set),
		mustRule(t, "spiffe://race.example/watch", See),
		mustRule(t, "spiffe://race.example/steward/*", Follow),
		mustRule(t, "spiffe://club.example/forwarder/{zone}/{proxy}", Poll),
	)
}

func mustRule(t *testing.T, id string, allowed ...Action) Rule {
	t.Helper()
	rule, err := NewRule(id, allowed)
	if err != nil {
		t.Fatal(err)
	}
	return rule
}

// TestPolicy compares the verdicts of the policy, and its reasons for a denial, with the golden file.
func TestPolicy(t *testing.T) {
	const (
		proxyID    = "spiffe://race.example/forwarder/addis/f1"
		hostID     = "spiffe://race.example/host/10.0.1.1_9000"
		watchID    = "spiffe://race.example/watch"
		clubID     = "spiffe://club.example/forwarder/addis/f9"
		operatorID = "spiffe://race.example/operator/ann"
		host       = "10.0.1.1:9000"
		otherHost  = "10.0.1.2:9000"
	)
	tests := []struct {
		id      string
		request Request
	}{
		{proxyID, Request{Action: Poll, Proxy: "f1", Zone: "addis"}},
		{proxyID, Request{Action: Poll, Proxy: "f2", Zone: "addis"}},
		{proxyID, Request{Action: Poll, Proxy: "f1", Zone: "adama"}},
		{proxyID, Request{Action: Stats, Proxy: "f1", Zone: "addis"}},
		{proxyID, Request{Action: Set, Host: host}},
		{hostID, Request{Action: Report, Host: host}},
		{hostID, Request{Action: Report, Host: otherHost}},
		{operatorID, Request{Action: Set, Host: host}},
		{operatorID + "/laptop", Request{Action: Set}},
		{watchID, Request{Action: See}},
		{watchID, Request{Action: Set}},
		{"spiffe://race.example/steward/two", Request{Action: Follow}},
		{"spiffe://other.example/operator/ann", Request{Action: Set}},
		{clubID, Request{Action: Poll, Proxy: "f9", Zone: "addis"}},
		{clubID, Request{Action: Stats, Proxy: "f9", Zone: "addis"}},
		{"spiffe://race.example", Request{Action: See}},
	}
	policy := newTestPolicy(t)
	var out strings.Builder
	for _, test := range tests {
		verdict := policy.Decide(spiffeid.RequireFromString(test.id), test.request)
		fmt.Fprintf(&out, "%s %+v: %v by rule %d\n", test.id, test.request, verdict.Allowed, verdict.Rule)
		if !verdict.Allowed {
			fmt.Fprintln(&out, "  "+strings.Join(verdict.Reasons, "\n  "))
		}
	}
	golden.Compare(t, "policy", out.String())
}

// TestRulesAreDescribed checks the description that "barleysail config check" prints.
func TestRulesAreDescribed(t *testing.T) {
	policy := NewPolicy(
		mustRule(t, "spiffe://race.example/operator/*", See, Set),
		mustRule(t, "spiffe://race.example/steward/*", Follow),
	)
	want := "rule 0: spiffe://race.example/operator/* may [see set]\n" +
		"rule 1: spiffe://race.example/steward/* may [follow]\n" +
		"requests that no rule allows are denied"
	if got := strings.Join(policy.Rules(), "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// TestNobodyActsAsAnother checks, over random requests, that an identity which names a proxy and a zone may only poll
// and post request stats, and only for that proxy in that zone.
func TestNobodyActsAsAnother(t *testing.T) {
	policy := newTestPolicy(t)
	name := rapid.SampledFrom([]string{"a", "b", "a-b", "addis", "10.0.1.1:9000", "10.0.1.1_9000", "[::1]:80", ""})
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		proxy := rapid.SampledFrom([]string{"f", "g"}).Draw(t, "proxy")
		id := spiffeid.RequireFromString("spiffe://race.example/forwarder/" + zone + "/" + proxy)
		request := Request{
			Action: rapid.SampledFrom(actions).Draw(t, "action"),
			Proxy:  name.Draw(t, "requested proxy"),
			Zone:   name.Draw(t, "requested zone"),
			Host:   name.Draw(t, "requested host"),
		}
		if rapid.Bool().Draw(t, "own") {
			request.Proxy = proxy
			request.Zone = zone
		}
		isProxyAction := request.Action == Poll || request.Action == Stats
		want := isProxyAction && request.Proxy == proxy && request.Zone == zone
		if got := policy.Decide(id, request).Allowed; got != want {
			t.Fatalf("%s %+v: got allowed %v, want %v", id, request, got, want)
		}
	})
}
