package auth

import (
	"fmt"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
)

// Policy is a list of rules. A request is allowed if one of them allows it.
type Policy struct{ rules []Rule }

// NewPolicy returns a policy with the given rules.
func NewPolicy(rules ...Rule) *Policy { return &Policy{rules: rules} }

// noRule is Verdict.Rule of a request that no rule allows.
const noRule = -1

// Verdict is a decision of the policy with its reasons.
type Verdict struct {
	Allowed bool
	Rule    int      // index of the rule that allows the request; negative: none does
	Reasons []string // a line for each rule that was evaluated
}

// Decide evaluates the rules in their order, up to the first that allows the request to the identity.
func (p *Policy) Decide(id spiffeid.ID, request Request) Verdict {
	var reasons []string
	for i := range p.rules {
		rule := &p.rules[i]
		reason := rule.denialReason(id, request)
		if reason == "" {
			reasons = append(reasons, fmt.Sprintf("rule %d, %s: allows it", i, rule.id))
			return Verdict{Allowed: true, Rule: i, Reasons: reasons}
		}
		reasons = append(reasons, fmt.Sprintf("rule %d, %s: %s", i, rule.id, reason))
	}
	reasons = append(reasons, "no rule allows it")
	return Verdict{Rule: noRule, Reasons: reasons}
}

// Rules describes the policy, one rule a line.
func (p *Policy) Rules() (lines []string) {
	for i := range p.rules {
		rule := &p.rules[i]
		lines = append(lines, fmt.Sprintf("rule %d: %s may %v", i, rule.id, rule.actions))
	}
	return append(lines, "requests that no rule allows are denied")
}
