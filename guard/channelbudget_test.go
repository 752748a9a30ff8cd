package guard

import "testing"

func TestChannelBudgetFits(t *testing.T) {
	tests := []struct {
		name    string
		budget  ChannelBudget
		entries float64
		message bool
		want    bool
	}{
		{"backlog up to its part", ChannelBudget{Backlog: 40, MaxBacklog: 100}, 5, false, true},
		{"backlog beyond its part", ChannelBudget{Backlog: 40, MaxBacklog: 100}, 6, false, false},
		{"no message limit", ChannelBudget{MaxBacklog: 100, MessagesSent: 99}, 1, true, true},
		{"messages up to their part", ChannelBudget{MaxBacklog: 100, MessagesSent: 4, MaxMessages: 10}, 1, true, true},
		{"messages beyond their part", ChannelBudget{MaxBacklog: 100, MessagesSent: 5, MaxMessages: 10}, 1, true, false},
		{"no message of its own", ChannelBudget{MaxBacklog: 100, MessagesSent: 5, MaxMessages: 10}, 1, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.budget.Fits(test.entries, test.message); got != test.want {
				t.Errorf("fits %v, want %v", got, test.want)
			}
		})
	}
}
