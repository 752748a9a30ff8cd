package auth

import "testing"

// TestTokens checks that a token is bound to the connection on which it was first used, that it is removed once it
// expires, and that the number of tokens is bounded. The steps share one record.
func TestTokens(t *testing.T) {
	tokens := NewTokens(2)
	steps := []struct {
		name       string
		nowMs      float64
		text       string
		expiresMs  float64
		connection int64
		want       bool
	}{
		{"first use", 0, "a", 100, 1, true},
		{"same connection", 10, "a", 100, 1, true},
		{"copied to another connection", 20, "a", 100, 2, false},
		{"the owner after the copy", 30, "a", 100, 1, true},
		{"a second token", 40, "b", 200, 2, true},
		{"a third one while the record is full", 50, "c", 60, 3, false},
		{"expired", 100, "a", 100, 1, false},
		{"a new one in place of the expired one", 101, "c", 160, 3, true},
		{"the new one copied to another connection", 102, "c", 160, 4, false},
		{"another one while the record is full", 103, "d", 300, 5, false},
		{"after another expiry", 161, "d", 300, 5, true},
		{"expired before its first use", 400, "e", 350, 6, false},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			got := tokens.Use(step.nowMs, step.text, step.expiresMs, step.connection)
			if got != step.want {
				t.Errorf("Use returns %v, want %v", got, step.want)
			}
		})
	}
	if len(tokens.byDigest) != 0 || len(tokens.byExpiry) != 0 {
		t.Errorf("got %d tokens and %d expiries in the record, want 0 and 0", len(tokens.byDigest), len(tokens.byExpiry))
	}
}
