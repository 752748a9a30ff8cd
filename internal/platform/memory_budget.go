package platform

import (
	"errors"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// inputShareOfMemory is the fraction of the memory limit that large messages may use while they are read.
	inputShareOfMemory = 0.125
	// outputShareOfMemory is the fraction of the memory limit that bytes may use that wait to be written.
	outputShareOfMemory = 0.125
	// defaultBudgetBytes is the budget of each where the memory is not limited.
	defaultBudgetBytes = 64 << 20

	// largeMessageTimeout is how long a peer may take for a large message from the moment it needs reserved memory.
	largeMessageTimeout = 5 * time.Second
)

// errInputMemory is the error of a message for which the input budget has no memory left.
var errInputMemory = errors.New("large messages of all connections use up the memory for them")

// newMemoryBudget returns a budget, in bytes, of a fraction of the memory limit.
func (l Limits) newMemoryBudget(share float64) *semaphore.Weighted {
	if l.MemoryMB == 0 {
		return semaphore.NewWeighted(defaultBudgetBytes)
	}
	return semaphore.NewWeighted(int64(l.MemoryMB * share * bytesPerMB))
}

// connectionInput reserves memory for the large messages of a connection in the budget of all connections. Such a
// message has to end within largeMessageTimeout, so that a peer that stops half way does not hold the memory. It
// implements resp.Budget.
type connectionInput struct {
	conn     *connection
	budget   *semaphore.Weighted
	reserved int64
}

// Reserve reserves memory for the message that is being read. The error is errInputMemory.
func (i *connectionInput) Reserve(bytes int) error {
	if !i.budget.TryAcquire(int64(bytes)) {
		return errInputMemory
	}
	if i.reserved == 0 {
		setReadDeadline(i.conn, time.Now().Add(largeMessageTimeout))
	}
	i.reserved += int64(bytes)
	return nil
}

// Release releases all memory that is reserved.
func (i *connectionInput) Release() {
	i.budget.Release(i.reserved)
	i.reserved = 0
	setReadDeadline(i.conn, time.Time{})
}
