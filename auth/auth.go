// Package auth decides who may do what: which identity may poll as which proxy of which zone, post sums for it, report as
// which host, see, set, and follow. What no rule allows is denied. It does no I/O; that an identity is proved is the
// connection's business.
package auth

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
)

// Action that somebody wants to do.
type Action string

// The actions.
const (
	Poll   Action = "poll"   // the tables of a proxy of a zone, and leave
	Sums   Action = "sums"   // post what a proxy met
	Report Action = "report" // the load of a host
	See    Action = "see"    // hosts, proxies, tables, events, status
	Set    Action = "set"    // what operators set
	Follow Action = "follow" // the state, as a standby does
)

// Actions are all there are.
var actions = []Action{Poll, Sums, Report, See, Set, Follow}

// ParseAction reads an action's name.
func ParseAction(name string) (Action, error) {
	if a := Action(name); slices.Contains(actions, a) {
		return a, nil
	}
	return "", fmt.Errorf("%q is no action: %v are", name, actions)
}

// Request is what somebody wants: the proxy, zone and host that it names, where it names one.
type Request struct {
	Action            Action
	Proxy, Zone, Host string
}

// Rule allows actions to identities of a form: the trust domain, then a path whose segments are given literally, as * for
// any one, or as {proxy}, {zone} or {host} for what the request has to name. A host stands in a path with _ for the colon
// before its port, since a path has no colons.
type Rule struct {
	text    string
	domain  spiffeid.TrustDomain
	path    []string
	actions []Action
}

// captures are the segments that a request has to name.
var captures = []string{"{proxy}", "{zone}", "{host}"}

// NewRule reads a rule.
func NewRule(id string, allowed []Action) (Rule, error) {
	rest, ok := strings.CutPrefix(id, "spiffe://")
	if !ok {
		return Rule{}, fmt.Errorf("%q does not begin with spiffe://", id)
	}
	name, path, _ := strings.Cut(rest, "/")
	domain, err := spiffeid.TrustDomainFromString(name)
	if err != nil {
		return Rule{}, fmt.Errorf("%q: %w", id, err)
	}
	r := Rule{text: id, domain: domain, actions: allowed}
	if path == "" {
		return Rule{}, fmt.Errorf("%q: a path is needed, a trust domain alone names nobody", id)
	}
	for _, s := range strings.Split(path, "/") {
		if s != "*" && !slices.Contains(captures, s) {
			if err := spiffeid.ValidatePathSegment(s); err != nil {
				return Rule{}, fmt.Errorf("%q: segment %q: %w", id, s, err)
			}
		}
		r.path = append(r.path, s)
	}
	if len(allowed) == 0 {
		return Rule{}, fmt.Errorf("%q: no action is allowed", id)
	}
	needs := map[Action]string{Poll: "{proxy}", Sums: "{proxy}", Report: "{host}"}
	for _, a := range allowed {
		if n := needs[a]; n != "" && !slices.Contains(r.path, n) && !slices.Contains(r.path, "*") {
			return Rule{}, fmt.Errorf("%q: %s needs %s in the path, or * for any", id, a, n)
		}
	}
	return r, nil
}

// Policy is rules, the first that allows counts.
type Policy struct{ rules []Rule }

// NewPolicy makes one.
func NewPolicy(rules ...Rule) *Policy { return &Policy{rules} }

// Verdict is what was decided, and why.
type Verdict struct {
	Allowed bool
	Rule    int      // that allows, from 0; below 0: none
	Why     []string // a line for each rule that was looked at
}

// Decide tells whether an identity may do what it wants.
func (p *Policy) Decide(id spiffeid.ID, q Request) Verdict {
	v := Verdict{Rule: -1}
	for i, r := range p.rules {
		why := r.denies(id, q)
		if why == "" {
			v.Allowed, v.Rule = true, i
			v.Why = append(v.Why, fmt.Sprintf("rule %d, %s: allows it", i, r.text))
			return v
		}
		v.Why = append(v.Why, fmt.Sprintf("rule %d, %s: %s", i, r.text, why))
	}
	v.Why = append(v.Why, "no rule allows it")
	return v
}

// denies says why a rule does not allow it, empty where it does.
func (r Rule) denies(id spiffeid.ID, q Request) string {
	if !slices.Contains(r.actions, q.Action) {
		return fmt.Sprintf("is not for %s", q.Action)
	}
	if !id.MemberOf(r.domain) {
		return fmt.Sprintf("is for the trust domain %s", r.domain)
	}
	path := strings.Split(strings.TrimPrefix(id.Path(), "/"), "/")
	if len(path) != len(r.path) {
		return fmt.Sprintf("is for a path of %d segments", len(r.path))
	}
	for i, want := range r.path {
		is := path[i]
		switch want {
		case "*":
			continue
		case "{proxy}":
			want = q.Proxy
		case "{zone}":
			want = q.Zone
		case "{host}":
			want = HostSegment(q.Host)
		}
		if is != want {
			return fmt.Sprintf("segment %d is %q, not %q", i+1, is, want)
		}
	}
	return ""
}

// HostSegment is how a host, address:port, stands in a path.
func HostSegment(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i] + "_" + host[i+1:]
	}
	return strings.NewReplacer("[", "", "]", "", ":", "-").Replace(host)
}

// Rules describes a policy, a line each.
func (p *Policy) Rules() (lines []string) {
	for i, r := range p.rules {
		lines = append(lines, fmt.Sprintf("rule %d: %s may %v", i, r.text, r.actions))
	}
	return append(lines, "what no rule allows is denied")
}
