package routing

import (
	"slices"
	"testing"
)

// Tasks run in order of time, and tasks of the same time in the order in which they were added. None runs early.
func TestTaskQueueOrder(t *testing.T) {
	var queue taskQueue
	var ran []int
	for number, atMs := range []float64{30, 10, 20, 10, 40, 20} {
		queue.add(task{atMs, func(UpdateWriter) { ran = append(ran, number) }})
	}
	for {
		next, due := queue.popDue(30)
		if !due {
			break
		}
		next.run(nil)
	}
	if want := []int{1, 3, 2, 5, 0}; !slices.Equal(ran, want) {
		t.Errorf("tasks ran in the order %v, want %v", ran, want)
	}
	if len(queue.tasks) != 1 {
		t.Errorf("%d tasks are left, want 1", len(queue.tasks))
	}
}

// The jitter of a recording must be the same when it is replayed.
func TestJitterRepeats(t *testing.T) {
	first, same, other := jitterSource{seed: 7}, jitterSource{seed: 7}, jitterSource{seed: 8}
	differs := false
	for range 100 {
		number := first.next()
		if number < 0 || number >= 1 {
			t.Fatalf("number %v, want one from 0 to below 1", number)
		}
		if repeated := same.next(); number != repeated {
			t.Fatalf("the same seed gave %v, want %v", repeated, number)
		}
		differs = differs || number != other.next()
	}
	if !differs {
		t.Error("seeds 7 and 8 gave the same 100 numbers, want different ones")
	}
}
