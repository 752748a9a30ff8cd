package routing

import (
	"encoding/binary"
	"hash/crc32"
	"sort"
)

// task is a function to run at a later instant.
type task struct {
	atMs float64
	run  func(UpdateWriter)
}

// taskQueue holds tasks sorted by time; tasks of the same time keep the order in which they were added.
type taskQueue struct {
	tasks []task
}

// add inserts a task by its time, after those of the same time.
func (q *taskQueue) add(added task) {
	position := sort.Search(len(q.tasks), func(i int) bool { return q.tasks[i].atMs > added.atMs })
	q.tasks = append(q.tasks, task{})
	copy(q.tasks[position+1:], q.tasks[position:])
	q.tasks[position] = added
}

// popDue removes and returns the first task if it is due.
func (q *taskQueue) popDue(nowMs float64) (task, bool) {
	if len(q.tasks) == 0 || q.tasks[0].atMs > nowMs {
		return task{}, false
	}
	first := q.tasks[0]
	q.tasks = q.tasks[1:]
	return first, true
}

// schedule adds a task that runs in the first round after a delay.
func (b *Balancer) schedule(delayMs float64, run func(UpdateWriter)) {
	b.tasks.add(task{b.nowMs + delayMs, run})
}

// runDueTasks runs all due tasks, including those that another task schedules for now.
func (b *Balancer) runDueTasks(writer UpdateWriter) {
	for {
		next, due := b.tasks.popDue(b.nowMs)
		if !due {
			return
		}
		next.run(writer)
	}
}

// jitterSource draws the same sequence of numbers for the same seed, so that a recording can be replayed.
type jitterSource struct {
	seed    uint64
	counter uint64
}

// next draws a number from 0 to below 1.
func (j *jitterSource) next() float64 {
	j.counter++
	bytes := binary.LittleEndian.AppendUint64(nil, j.seed)
	bytes = binary.LittleEndian.AppendUint64(bytes, j.counter)
	return float64(crc32.ChecksumIEEE(bytes)) / (1 << 32)
}
