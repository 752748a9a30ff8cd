package deadlinequeue

import (
	"math"
	"slices"
	"testing"
)

// Items are popped by due time, and items due at the same time in the order in which they were scheduled.
func TestPopOrder(t *testing.T) {
	var queue Queue[string]
	queue.Schedule(20, "later")
	queue.Schedule(10, "first")
	queue.Schedule(10, "second")
	queue.Schedule(30, "last")
	tests := []struct {
		name   string
		nowMs  float64
		want   []string
		nextMs float64
	}{
		{"nothing is due", 9.9, nil, 10},
		{"two are due at the same time", 10, []string{"first", "second"}, 20},
		{"one is due", 29, []string{"later"}, 30},
		{"the last is overdue", 100, []string{"last"}, math.Inf(1)},
		{"empty", 200, nil, math.Inf(1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for {
				value, ok := queue.Pop(test.nowMs)
				if !ok {
					break
				}
				got = append(got, value)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("Pop at %g ms returned %q, want %q", test.nowMs, got, test.want)
			}
			if queue.NextDueMs() != test.nextMs {
				t.Errorf("NextDueMs returned %g, want %g", queue.NextDueMs(), test.nextMs)
			}
		})
	}
}
