package http1

import (
	"golang.org/x/sync/semaphore"
)

const (
	// unreservedBytes is the memory that a request may use without a reservation; most requests need no more.
	unreservedBytes = 8 << 10

	// maxHeaderFields is the number of field lines that a message may have: each takes far more memory than its text.
	maxHeaderFields = 128

	// headerFieldOverhead is the memory of a field line beyond its text, in bytes.
	headerFieldOverhead = 128

	// memoryPerBodyByte is the memory for each byte of a body: a document takes a multiple of its text once it is decoded.
	memoryPerBodyByte = 8

	// unreservedReplyBytes is the size of a reply's body up to which no memory is reserved while it is written.
	unreservedReplyBytes = 64 << 10

	// bodyChunkBytes is the size of the pieces in which a body is read. Memory is used for what has arrived, whatever
	// length was announced.
	bodyChunkBytes = 16 << 10
)

// requestMemory reserves the memory of one request, from the first byte until it was handled, in the budget that all
// requests of a server share. A nil requestMemory reserves nothing.
type requestMemory struct {
	budget   *semaphore.Weighted
	used     int64
	reserved int64
}

func newRequestMemory(budget *semaphore.Weighted) *requestMemory {
	return &requestMemory{budget: budget}
}

// reserve reserves memory for bytes of the request. The error is a *messageError, where the requests of all connections
// use up the budget.
func (m *requestMemory) reserve(bytes int) error {
	if m == nil {
		return nil
	}
	m.used += int64(bytes)
	missing := m.used - unreservedBytes - m.reserved
	if missing <= 0 {
		return nil
	}
	if !m.budget.TryAcquire(missing) {
		return invalidMessage(503, "large requests of other clients use up the memory for them")
	}
	m.reserved += missing
	return nil
}

// release releases all memory of the request.
func (m *requestMemory) release() {
	if m == nil {
		return
	}
	m.budget.Release(m.reserved)
	m.used = 0
	m.reserved = 0
}

// reserveReply reserves memory for the body of a reply until it is written. ok is false where the replies that other
// clients do not read use up the budget.
func (s *Server) reserveReply(body []byte) (reserved int64, ok bool) {
	if len(body) <= unreservedReplyBytes {
		return 0, true
	}
	reserved = min(int64(len(body)), s.config.MemoryBytes)
	return reserved, s.replyMemory.TryAcquire(reserved)
}
