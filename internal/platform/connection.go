package platform

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedBytes bounds what may wait to be written to one connection: a peer that leaves more unread is
	// disconnected.
	maxQueuedBytes = 512 << 10
	// writeTimeout bounds one write: the time a peer has to read what was queued when the write began.
	writeTimeout = 5 * time.Second
)

// connection is an accepted connection with a bounded queue of messages to write. While messages wait, a goroutine
// writes them, so that a slow peer holds up neither the event loop nor another peer; it ends with the queue.
type connection struct {
	net.Conn
	acceptNumber uint64          // counts the accepted connections
	goroutines   *sync.WaitGroup // the node's
	admittedAt   time.Time       // set by the connection limiter
	lastReadMs   atomic.Int64    // when a message last came, in ms of the node's clock

	mu          sync.Mutex // guards what follows
	writeQueue  net.Buffers
	queuedBytes int  // in writeQueue and in the write under way
	writing     bool // a goroutine writes
	closed      bool
}

// enqueue queues a message, or closes the connection where too much waits. It never blocks on the peer.
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

// writeQueued writes until the queue is empty or the connection closed.
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

// takeQueue takes what is queued to write it. Where that is nothing, the writing is over.
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

// terminate closes the connection and drops what is queued. The goroutines that read and write it end.
func (c *connection) terminate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *connection) closeLocked() {
	c.closed = true
	_ = c.Close() // the connection is given up: an error changes nothing
}
