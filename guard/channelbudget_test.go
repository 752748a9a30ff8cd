package guard

import "testing"

func TestChannelBudgetFits(t *testing.T) {
	tests := []struct {
		name         string
		budget       ChannelBudget
		entries      float64
		needsMessage bool
		want         bool
	}{
		{"backlog up to its fraction", ChannelBudget{Backlog: 40, MaxBacklog: 100}, 5, false, true},
		{"backlog beyond its fraction", ChannelBudget{Backlog: 40, MaxBacklog: 100}, 6, false, false},
		{"no message limit", ChannelBudget{MaxBacklog: 100, MessagesSent: 99}, 1, true, true},
		{"messages up to their fraction", ChannelBudget{MaxBacklog: 100, MessagesSent: 4, MaxMessages: 10}, 1, true, true},
		{"messages beyond their fraction", ChannelBudget{MaxBacklog: 100, MessagesSent: 5, MaxMessages: 10}, 1, true, false},
		{"no separate message", ChannelBudget{MaxBacklog: 100, MessagesSent: 5, MaxMessages: 10}, 1, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.budget.Fits(test.entries, test.needsMessage); got != test.want {
				t.Errorf("Fits(%g, %v) = %v, want %v", test.entries, test.needsMessage, got, test.want)
			}
		})
	}
}
