package platform

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"barleysail/internal/resp"
)

const (
	// acceptRetryDelay is the pause after a failed accept. The process has most likely run out of file descriptors, and
	// unidentified connections release theirs when they time out.
	acceptRetryDelay = 20 * time.Millisecond
	// identifyTimeout is how long a connection may take to identify itself. A client sends its first message within
	// 1 s.
	identifyTimeout = 1500 * time.Millisecond
	// maxUnidentifiedMessages bounds the messages that a connection may send, up to and including the one with which it
	// identifies itself; those before it are PINGs.
	maxUnidentifiedMessages = 32
)

var (
	// identifyLimits bound a message of a connection that is not identified yet.
	identifyLimits = resp.Limits{Words: 16, Bytes: 4 << 10}
	// messageLimits bound any other message.
	messageLimits = resp.Limits{Words: 256, Bytes: 1 << 20}
)

// errNotIdentified is the error of a connection that ended, timed out or sent any message other than PING before it
// identified itself.
var errNotIdentified = errors.New("the connection did not identify itself")

// acceptConnections accepts connections until the listener is closed and serves each in its own goroutine. The
// connection limiter bounds their number, and closes them when the node shuts down.
func (n *Node) acceptConnections(ctx context.Context, listener net.Listener) {
	for number := uint64(1); ; number++ {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.warnings.warn("accept failed", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		conn := n.newConnection(accepted, number)
		if !n.connections.admit(ctx, conn) {
			conn.terminate()
			n.warnings.warn("connection rejected: sessions in use hold all descriptors", nil)
			continue
		}
		n.goroutines.Go(func() { n.serve(conn) })
	}
}

func (n *Node) newConnection(accepted net.Conn, number uint64) *connection {
	return &connection{
		Conn:         accepted,
		acceptNumber: number,
		goroutines:   &n.goroutines,
		outputBudget: n.outputBudget,
	}
}

// serve reads a connection until it ends. It releases the descriptor before it posts the end of the session, since the
// event loop may be busy.
func (n *Node) serve(conn *connection) {
	reader := resp.NewReader(conn, &connectionInput{conn: conn, budget: n.inputBudget})
	defer reader.Release()
	session, err := n.identify(reader, conn)
	if err == nil {
		n.connections.markActive(conn)
		n.post(func() { n.connect(session) })
		n.readMessages(reader, session)
	} else if errors.Is(err, errNotIdentified) {
		n.warnings.warn("connection did not identify itself", nil)
	} else {
		n.warnings.warn("malformed first message", err)
	}
	conn.terminate()
	n.connections.release(conn)
	if err == nil {
		n.post(func() { n.disconnect(session) })
	}
}

// identify reads the first message of a connection and returns the session that it begins. The error is
// errNotIdentified, or a *fieldError if the message is malformed.
func (n *Node) identify(reader *resp.Reader, conn *connection) (*peerSession, error) {
	setReadDeadline(conn, time.Now().Add(identifyTimeout))
	words, err := readFirstMessage(reader, conn)
	if err != nil {
		return nil, err
	}
	values, err := newFieldReader(words)
	if err != nil {
		return nil, errNotIdentified
	}
	var session *peerSession
	switch words[0] {
	case kindSubscribe:
		session = newProxySession(conn, n.decoder.readSubscribe(values))
	case kindCollector:
		session = newCollectorSession(conn, n.decoder.readCollector(values))
	default:
		return nil, errNotIdentified
	}
	if values.err != nil {
		return nil, values.err
	}
	setReadDeadline(conn, time.Time{})
	return session, nil
}

// setReadDeadline sets the time at which reads time out; with the zero time they never do.
func setReadDeadline(conn *connection, deadline time.Time) {
	_ = conn.SetReadDeadline(deadline) // it fails only on a closed connection, which the next read reports
}

// readFirstMessage returns the first message other than PING, and answers each PING before it. The error is
// errNotIdentified.
func readFirstMessage(reader *resp.Reader, conn *connection) ([]string, error) {
	var words []string
	for range maxUnidentifiedMessages {
		var err error
		words, err = reader.Read(words, identifyLimits)
		if err != nil || len(words) == 0 {
			return nil, errNotIdentified
		}
		if !isPing(words) {
			return words, nil
		}
		conn.enqueue(pongMessage)
	}
	return nil, errNotIdentified
}

// readMessages reads the messages of a session until its connection ends, and posts them to the event loop. A malformed
// message is dropped alone; bytes that are not a message end the session. A peer that sends faster than sessionPace is
// read at that pace.
func (n *Node) readMessages(reader *resp.Reader, session *peerSession) {
	pace := newSessionPace()
	var words []string
	for {
		var err error
		words, err = reader.Read(words, messageLimits)
		if err != nil {
			var malformed *resp.ProtocolError
			if errors.As(err, &malformed) {
				n.warnings.warn("session sent bytes that are not a message", err)
			} else if errors.Is(err, errInputMemory) || errors.Is(err, os.ErrDeadlineExceeded) {
				n.warnings.warn("session closed during a large message", err)
			}
			n.log.Debug().Err(err).Int("proxy", session.proxy).Msg("session ended")
			return
		}
		session.lastReadMs.Store(int64(n.clock.Now()))
		pace.wait(words)
		if isPing(words) {
			session.enqueue(pongMessage)
		} else if len(words) > 0 {
			n.postMessage(session, words)
		}
	}
}

// postMessage decodes a message and posts it to the event loop.
func (n *Node) postMessage(session *peerSession, words []string) {
	droppedText := droppedMessageText(words[0])
	message, decodeErr := n.decoder.decodeSessionMessage(words)
	n.post(func() {
		err := n.handleMessage(session, message, decodeErr)
		if errors.Is(err, errSessionEnded) {
			n.warnings.warn("message of an ended session dropped", nil)
		} else if err != nil {
			n.warnings.warn(droppedText, err)
		}
	})
}

// droppedMessageText returns the text of the warning for a dropped message. It quotes only known kinds, since
// rateLimitedLog keeps a count for each text.
func droppedMessageText(kind string) string {
	switch kind {
	case kindHostReport, kindDemandReport, kindAck:
		return "malformed " + kind + " message dropped"
	default:
		return "message of unknown kind dropped"
	}
}
