package platform

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// maxQueuedBytes bounds the bytes that wait to be written to one connection. A peer that leaves more unread is
	// disconnected: its write queue is full.
	maxQueuedBytes = 512 << 10
	// writeTimeout bounds one write. It is the time in which a peer has to read the bytes that were queued when the
	// write began.
	writeTimeout = 5 * time.Second
)

// connection is an accepted connection with a bounded queue of messages to write. While messages are queued, one
// goroutine writes them, so that a slow peer delays neither the event loop nor another peer. The goroutine ends when
// the queue is empty or the connection is closed.
type connection struct {
	net.Conn
	acceptNumber uint64              // sequence number in the order in which the node accepted connections
	goroutines   *sync.WaitGroup     // of the node, which waits for the goroutine that writes
	outputBudget *semaphore.Weighted // of the node: bytes that wait to be written to any connection
	admittedAt   time.Time           // set by the connection limiter
	lastReadMs   atomic.Int64        // when the last message was read, in ms of the node's clock

	mu          sync.Mutex // guards the fields below
	writeQueue  []byte     // messages
	reserved    int64      // bytes of writeQueue that are reserved in outputBudget
	queuedBytes int        // in writeQueue and in the write in progress
	writing     bool       // a goroutine runs writeQueued
	closed      bool
}

// enqueue queues a message to be written. If the queue is full, that is, the message would take it beyond
// maxQueuedBytes, or the queues of all connections use up the node's memory for them, enqueue drops the message and
// closes the connection: the peer has to connect again and then gets a snapshot. A message to a connection whose queue
// is empty needs no memory of that budget, so that peers that read are not closed for those that do not. enqueue never
// blocks on the peer, and does nothing on a closed connection.
func (c *connection) enqueue(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if c.queuedBytes+len(message) > maxQueuedBytes || !c.reserveLocked(len(message)) {
		c.closeLocked()
		return
	}
	c.writeQueue = append(c.writeQueue, message...)
	c.queuedBytes += len(message)
	if !c.writing {
		c.writing = true
		c.goroutines.Go(c.writeQueued)
	}
}

// reserveLocked reserves memory for a message behind others, and reports whether there is any left.
func (c *connection) reserveLocked(bytes int) bool {
	if c.queuedBytes == 0 {
		return true
	}
	if !c.outputBudget.TryAcquire(int64(bytes)) {
		return false
	}
	c.reserved += int64(bytes)
	return true
}

// release releases memory of messages that were written or dropped.
func (c *connection) release(bytes int64) {
	if bytes > 0 {
		c.outputBudget.Release(bytes)
	}
}

// writeQueued writes until the queue is empty or the connection is closed.
func (c *connection) writeQueued() {
	for {
		queue, reserved := c.takeQueue()
		if len(queue) == 0 {
			return
		}
		err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = c.Write(queue)
		}
		c.mu.Lock()
		c.queuedBytes -= len(queue)
		c.mu.Unlock()
		c.release(reserved)
		if err != nil {
			c.terminate()
		}
	}
}

// takeQueue removes and returns the queued messages, and how many of their bytes are reserved. If there are none, or
// the connection is closed, it returns an empty queue and clears writing, since the goroutine that writes ends then.
func (c *connection) takeQueue() (queue []byte, reserved int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.writeQueue) == 0 || c.closed {
		c.writing = false
		return nil, 0
	}
	queue, reserved = c.writeQueue, c.reserved
	c.writeQueue = nil
	c.reserved = 0
	return queue, reserved
}

// terminate closes the connection and drops the queued messages. This ends the goroutines that read and write it.
func (c *connection) terminate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *connection) closeLocked() {
	c.closed = true
	c.writeQueue = nil
	c.release(c.reserved)
	c.reserved = 0
	_ = c.Close() // the connection is not used any more, whether or not Close fails
}
