package platform

import (
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"barleysail/internal/resp"
)

// Guards against one peer that uses the processor time of all others: it sends at full speed, and is read at the pace
// of a session.
func TestFloodIsReadAtSessionPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const messages = 3 * sessionMessagesPerSecond
		const want = 2 * time.Second // those of one second are read at once
		node := newIdleNode(t)
		local, flooding := net.Pipe()
		session := newProxySession(node.newConnection(local, 1), subscribeMessage{proxy: 2, weight: 1})
		var goroutines sync.WaitGroup
		goroutines.Go(func() { node.readMessages(resp.NewReader(local, nil), session) })
		goroutines.Go(func() {
			message := resp.Append(nil, strings.Fields("LOAD zone a server s-1 tries 1 failed 0 mean_ms 1 span_ms 1")...)
			for range messages {
				if _, err := flooding.Write(message); err != nil {
					t.Error(err)
				}
			}
			mustClose(t, flooding)
		})
		began := time.Now()
		for range messages {
			<-node.events
		}
		if took := time.Since(began); took < want-time.Millisecond || took > want+time.Second {
			t.Errorf("%d messages read within %v, want %v", messages, took, want)
		}
		goroutines.Wait()
		mustClose(t, local)
	})
}
