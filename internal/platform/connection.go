package platform

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
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
	acceptNumber uint64          // sequence number in the order in which the node accepted connections
	goroutines   *sync.WaitGroup // of the node, which waits for the goroutine that writes
	admittedAt   time.Time       // set by the connection limiter
	lastReadMs   atomic.Int64    // when the last message was read, in ms of the node's clock

	mu          sync.Mutex // guards the fields below
	writeQueue  net.Buffers
	queuedBytes int  // in writeQueue and in the write in progress
	writing     bool // a goroutine runs writeQueued
	closed      bool
}

// enqueue queues a message to be written. If the queue is full, that is, the message would take it beyond
// maxQueuedBytes, enqueue drops the message and closes the connection: the peer has to connect again and then gets a
// snapshot. It never blocks on the peer, and does nothing on a closed connection.
func (c *connection) enqueue(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if c.queuedBytes+len(message) > maxQueuedBytes {
		c.closeLocked()
		return
	}
	c.writeQueue = append(c.writeQueue, message)
	c.queuedBytes += len(message)
	if !c.writing {
		c.writing = true
		c.goroutines.Go(c.writeQueued)
	}
}

// writeQueued writes until the queue is empty or the connection is closed.
func (c *connection) writeQueued() {
	for {
		queue, size := c.takeQueue()
		if size == 0 {
			return
		}
		err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = queue.WriteTo(c.Conn)
		}
		c.mu.Lock()
		c.queuedBytes -= size
		c.mu.Unlock()
		if err != nil {
			c.terminate()
		}
	}
}

// takeQueue removes and returns the queued messages, with their size in bytes. If there are none, or the connection is
// closed, it returns a size of 0 and clears writing, since the goroutine that writes ends then.
func (c *connection) takeQueue() (queue net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queuedBytes == 0 || c.closed {
		c.writing = false
		c.writeQueue = nil
		return nil, 0
	}
	queue = c.writeQueue
	c.writeQueue = nil
	return queue, c.queuedBytes
}

// terminate closes the connection and drops the queued messages. This ends the goroutines that read and write it.
func (c *connection) terminate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *connection) closeLocked() {
	c.closed = true
	_ = c.Close() // the connection is not used any more, whether or not Close fails
}
