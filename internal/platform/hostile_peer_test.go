package platform

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/resp"
)

const (
	// hostileProxies is the number of hostile sessions; each is one proxy of the settings.
	hostileProxies = 300

	// memoryLimitMB is the memory limit of the nodes of these tests.
	memoryLimitMB = 64

	// promptReply bounds the wait of a well-behaved peer beside hostile ones: proxies give up a connection that does not
	// answer a PING within a second.
	promptReply = time.Second
)

// startGuardedNode runs a node with a memory limit of memoryLimitMB that serves hostileProxies and one proxy more.
func startGuardedNode(t *testing.T) (node *Node, address string) {
	t.Helper()
	config := newTestConfig(t, noDiscovery, 1024)
	proxies := hostileProxies + 1
	unlimited := 1e6 // entries: proxies that acknowledge nothing do not fill the control channel
	config.Settings.FamilyInfo.DataPlaneSize = &proxies
	config.Settings.FamilyInfo.ChannelRate = &unlimited
	config.Settings.FamilyInfo.MostWaiting = &unlimited
	if config.Limits.MemoryMB != memoryLimitMB {
		t.Fatalf("the configuration has a memory limit of %v MB, want %v", config.Limits.MemoryMB, memoryLimitMB)
	}
	return startNode(t, config)
}

// subscribe returns the first message of a proxy.
func subscribe(proxy int) string {
	return fmt.Sprintf("SUBSCRIBE proxy %d zone a weight 1 fresh 1", proxy)
}

// heapBytes returns the memory that is in use, without garbage.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// expectMemoryWithinLimit checks that the process has used less than the memory limit since it used before bytes.
func expectMemoryWithinLimit(t *testing.T, before uint64) {
	t.Helper()
	used := (float64(heapBytes()) - float64(before)) / bytesPerMB
	t.Logf("%.1f MB in use of %d MB", used, memoryLimitMB)
	if used > memoryLimitMB*heapShareOfMemory {
		t.Errorf("%.1f MB are in use, want at most %.1f MB", used, memoryLimitMB*heapShareOfMemory)
	}
}

// expectPromptService checks that a well-behaved proxy is answered and served within promptReply.
func expectPromptService(t *testing.T, address string) {
	t.Helper()
	began := time.Now()
	proxy := dial(t, address, "PING")
	proxy.expect("PONG")
	answered := time.Since(began)
	proxy.send(subscribe(hostileProxies))
	if got := proxy.read(); !strings.HasPrefix(got, "CONFIG") {
		t.Errorf("read %q, want the tables", got)
	}
	served := time.Since(began)
	t.Logf("PING answered after %v, tables after %v", answered, served)
	if answered > promptReply || served > 2*promptReply {
		t.Errorf("PING answered after %v and tables sent after %v, want at most %v each", answered, served, promptReply)
	}
}

// dialHostile connects without a deadline.
func dialHostile(t *testing.T, address, words string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the node may have closed it
	_, _ = conn.Write(resp.Append(nil, strings.Fields(words)...))
	return conn
}

// Guards against a node that is killed for its memory: hundreds of proxies stop half way through a large message.
func TestMemoryOfUnfinishedMessages(t *testing.T) {
	const announced, sent = 1000000, 900000
	half := []byte(fmt.Sprintf("*3\r\n$4\r\nLOAD\r\n$%d\r\n%s", announced, strings.Repeat("x", sent)))
	before := heapBytes()
	_, address := startGuardedNode(t)
	for proxy := range hostileProxies {
		conn := dialHostile(t, address, subscribe(proxy))
		_ = conn.SetWriteDeadline(time.Now().Add(testTimeout))
		_, _ = conn.Write(half)
	}
	expectMemoryWithinLimit(t, before)
	expectPromptService(t, address)
}

// Guards against a node that is killed for its memory: hundreds of proxies send PINGs and read no answer.
func TestMemoryOfUnreadAnswers(t *testing.T) {
	config := newTestConfig(t, noDiscovery, 1024)
	node, err := New(config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	before := heapBytes()
	var unread []net.Conn
	for number := range uint64(hostileProxies) {
		local, remote := net.Pipe()
		unread = append(unread, remote)
		conn := node.newConnection(local, number)
		for range maxQueuedBytes / len(pongMessage) {
			conn.enqueue(pongMessage)
		}
	}
	expectMemoryWithinLimit(t, before)
	for _, conn := range unread {
		mustClose(t, conn)
	}
	node.goroutines.Wait()
	if !node.outputBudget.TryAcquire(int64(config.Limits.MemoryMB * outputShareOfMemory * bytesPerMB)) {
		t.Error("memory is still reserved after all connections have ended")
	}
}

// Guards against memory that stays reserved after the end of a session: the budget would be used up for good.
func TestInputMemoryIsReleased(t *testing.T) {
	node, address := startGuardedNode(t)
	half := fmt.Sprintf("*3\r\n$4\r\nLOAD\r\n$%d\r\n%s", 1000000, strings.Repeat("x", 900000))
	for range 2 {
		proxy := dial(t, address, subscribeProxy0)
		proxy.sendRaw(half)
		mustClose(t, proxy)
	}
	limit := int64(memoryLimitMB * inputShareOfMemory * bytesPerMB)
	waitUntil(t, node, func() bool { return len(node.sessions.active) == 0 })
	waitUntil(t, node, func() bool {
		released := node.inputBudget.TryAcquire(limit)
		if released {
			node.inputBudget.Release(limit)
		}
		return released
	})
}

// One peer sends messages at full speed on one connection. Others must be served as promptly as without it, and the
// memory must not grow.
func TestPromptServiceBesideFlood(t *testing.T) {
	floods := map[string]func(i int) string{
		"pings":         func(int) string { return "PING" },
		"unknown kinds": func(i int) string { return fmt.Sprint("KIND", i) },
		"unknown hosts": func(i int) string {
			return fmt.Sprintf("LOAD zone a server s-%d tries 1 failed 0 mean_ms 1 span_ms 1", i)
		},
		"known host":     func(int) string { return "LOAD zone a server s-1 tries 1 failed 0 mean_ms 1 span_ms 1" },
		"bad layout":     func(i int) string { return fmt.Sprint("LOAD ", i) },
		"other proxies":  func(i int) string { return fmt.Sprintf("RATE proxy %d class read tries 1 failed 0 span_ms 1", i) },
		"unknown stamps": func(i int) string { return fmt.Sprintf("ACK proxy 0 mark %d took_ms 1", i%maxStamp) },
	}
	for name, message := range floods {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			_, address := startGuardedNode(t)
			flooding := dialHostile(t, address, subscribe(0))
			go func() { _, _ = io.Copy(io.Discard, flooding) }()
			var messages []byte
			for i := range 20000 {
				messages = resp.Append(messages, strings.Fields(message(i))...)
			}
			ended := time.Now().Add(time.Second)
			sent := make(chan int, 1000)
			go func() {
				defer close(sent)
				for rounds := 1; time.Now().Before(ended); rounds++ {
					if _, err := flooding.Write(messages); err != nil {
						return
					}
					sent <- rounds
				}
			}()
			receive(t, sent)
			expectPromptService(t, address)
			mustClose(t, flooding)
			for range sent { // until the writer has ended
			}
			expectMemoryWithinLimit(t, before)
		})
	}
}

// Guards against a node that is killed for its memory: messages with very long names wait for the event loop.
func TestMemoryOfLongNames(t *testing.T) {
	const nameBytes, messages = 400000, 120
	name := strings.Repeat("x", nameBytes)
	for kind, message := range map[string]string{
		"host": "LOAD zone a server " + name + " tries 1 failed 0 mean_ms 1 span_ms 1",
		"kind": name + " zone a",
	} {
		t.Run(kind, func(t *testing.T) { expectMemoryOfQueuedMessages(t, message, messages) })
	}
}

// expectMemoryOfQueuedMessages checks the memory while a number of messages waits for the event loop.
func expectMemoryOfQueuedMessages(t *testing.T, message string, messages int) {
	t.Helper()
	before := heapBytes()
	node, address := startGuardedNode(t)
	proxy := dial(t, address, subscribeProxy0)
	waitUntil(t, node, func() bool { return len(node.sessions.active) == 1 })
	release := make(chan struct{})
	node.post(func() { <-release })
	for range messages {
		proxy.send(message)
	}
	proxy.send("PING") // answered once all messages before it wait
	for answer := ""; answer != "PONG"; {
		if answer = proxy.read(); answer != "PONG" && !strings.HasPrefix(answer, "CONFIG") {
			t.Fatalf("read %q, want PONG", answer)
		}
	}
	expectMemoryWithinLimit(t, before)
	close(release)
}
