package auth

import "testing"

// TestTokens checks that a token belongs to the connection on which it was first used, that it is forgotten once it
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
		{"a third one is too many", 50, "c", 60, 3, false},
		{"expired", 100, "a", 100, 1, false},
		{"in place of the expired one", 101, "c", 160, 3, true},
		{"copied as well", 102, "c", 160, 4, false},
		{"too many again", 103, "d", 300, 5, false},
		{"after another expiry", 161, "d", 300, 5, true},
		{"expired before its first use", 400, "e", 350, 6, false},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			got := tokens.Use(step.nowMs, step.text, step.expiresMs, step.connection)
			if got != step.want {
				t.Errorf("may be used %v, want %v", got, step.want)
			}
		})
	}
	if len(tokens.byDigest) != 0 || len(tokens.byExpiry) != 0 {
		t.Errorf("%d tokens are recorded, want none", len(tokens.byDigest))
	}
}
