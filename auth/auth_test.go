package auth

import (
	"fmt"
	"strings"
	"testing"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"pgregory.net/rapid"

	"barleysail/internal/golden"
)

func policy(t *testing.T) *Policy {
	var rules []Rule
	for _, x := range []struct {
		id string
		a  []Action
	}{{"spiffe://race.example/forwarder/{zone}/{proxy}", []Action{Poll, Sums}}, {"spiffe://race.example/host/{host}", []Action{Report}},
		{"spiffe://race.example/operator/*", []Action{See, Set}}, {"spiffe://race.example/watch", []Action{See}},
		{"spiffe://race.example/steward/*", []Action{Follow}}, {"spiffe://club.example/forwarder/{zone}/{proxy}", []Action{Poll}}} {
		r, err := NewRule(x.id, x.a)
		if err != nil {
			t.Fatal(err)
		}
		rules = append(rules, r)
	}
	return NewPolicy(rules...)
}

// Who may do what, and why not.
func TestPolicy(t *testing.T) {
	p := policy(t)
	var out strings.Builder
	for _, x := range []struct {
		id string
		q  Request
	}{
		{"spiffe://race.example/forwarder/addis/f1", Request{Poll, "f1", "addis", ""}},
		{"spiffe://race.example/forwarder/addis/f1", Request{Poll, "f2", "addis", ""}},
		{"spiffe://race.example/forwarder/addis/f1", Request{Poll, "f1", "adama", ""}},
		{"spiffe://race.example/forwarder/addis/f1", Request{Sums, "f1", "addis", ""}},
		{"spiffe://race.example/forwarder/addis/f1", Request{Action: Set, Host: "10.0.1.1:9000"}},
		{"spiffe://race.example/host/10.0.1.1_9000", Request{Action: Report, Host: "10.0.1.1:9000"}},
		{"spiffe://race.example/host/10.0.1.1_9000", Request{Action: Report, Host: "10.0.1.2:9000"}},
		{"spiffe://race.example/operator/ann", Request{Action: Set, Host: "10.0.1.1:9000"}},
		{"spiffe://race.example/operator/ann/laptop", Request{Action: Set}},
		{"spiffe://race.example/watch", Request{Action: See}},
		{"spiffe://race.example/watch", Request{Action: Set}},
		{"spiffe://race.example/steward/two", Request{Action: Follow}},
		{"spiffe://other.example/operator/ann", Request{Action: Set}},
		{"spiffe://club.example/forwarder/addis/f9", Request{Poll, "f9", "addis", ""}},
		{"spiffe://club.example/forwarder/addis/f9", Request{Sums, "f9", "addis", ""}},
		{"spiffe://race.example", Request{Action: See}},
	} {
		v := p.Decide(spiffeid.RequireFromString(x.id), x.q)
		fmt.Fprintf(&out, "%s %+v: %v by rule %d\n", x.id, x.q, v.Allowed, v.Rule)
		if !v.Allowed {
			fmt.Fprintln(&out, "  "+strings.Join(v.Why, "\n  "))
		}
	}
	golden.Compare(t, "policy", out.String())
}

// Rules that cannot be meant are refused.
func TestRules(t *testing.T) {
	for _, x := range []struct {
		id string
		a  []Action
	}{{"race.example/x", []Action{See}}, {"spiffe://race.example", []Action{See}}, {"spiffe://Race.example/x", []Action{See}}, {"spiffe://race.example/x/", []Action{See}},
		{"spiffe://race.example:80/x", []Action{See}}, {"spiffe://race.example/x?y", []Action{See}}, {"spiffe://race.example/../x", []Action{See}}, {"spiffe://race.example/x", nil},
		{"spiffe://race.example/forwarder/{zone}", []Action{Poll}}, {"spiffe://race.example/host", []Action{Report}}, {"spiffe://race.example/{who}", []Action{See}}} {
		if _, err := NewRule(x.id, x.a); err == nil {
			t.Errorf("%s %v was taken", x.id, x.a)
		}
	}
	if _, err := ParseAction("rule"); err == nil {
		t.Error("an action that is none was taken")
	}
}

// An identity that names one proxy, zone or host is never allowed to act as another.
func TestNobodyActsAsAnother(t *testing.T) {
	p := policy(t)
	name := rapid.SampledFrom([]string{"a", "b", "a-b", "addis", "10.0.1.1:9000", "10.0.1.1_9000", "[::1]:80", ""})
	rapid.Check(t, func(t *rapid.T) {
		zone, proxy := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.SampledFrom([]string{"f", "g"}).Draw(t, "proxy")
		id := spiffeid.RequireFromString("spiffe://race.example/forwarder/" + zone + "/" + proxy)
		q := Request{rapid.SampledFrom(actions).Draw(t, "action"), name.Draw(t, "p"), name.Draw(t, "z"), name.Draw(t, "h")}
		if rapid.Bool().Draw(t, "own") {
			q.Proxy, q.Zone = proxy, zone
		}
		want := (q.Action == Poll || q.Action == Sums) && q.Proxy == proxy && q.Zone == zone
		if got := p.Decide(id, q).Allowed; got != want {
			t.Fatalf("%s %+v: %v", id, q, got)
		}
	})
}

// A token belongs to the connection it was first seen on, is forgotten at its end, and what is remembered is bounded.
func TestTokens(t *testing.T) {
	k := NewTokens(2)
	for _, x := range []struct {
		now  float64
		text string
		ends float64
		conn int64
		want bool
	}{{0, "a", 100, 1, true}, {10, "a", 100, 1, true}, {20, "a", 100, 2, false}, {30, "a", 100, 1, true}, {40, "b", 200, 2, true}, {50, "c", 60, 3, false},
		{100, "a", 100, 1, false}, {101, "c", 160, 3, true}, {102, "c", 160, 4, false}, {103, "d", 300, 5, false}, {161, "d", 300, 5, true}, {400, "e", 350, 6, false}} {
		if got := k.Use(x.now, x.text, x.ends, x.conn); got != x.want {
			t.Errorf("%+v: %v", x, got)
		}
	}
	if len(k.byDigest) != 0 {
		t.Errorf("%d are remembered", len(k.byDigest))
	}
}
