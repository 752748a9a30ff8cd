package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// rudeClients has bad clients connect to a steward. Each is owed a close or a message within 3 s, or 6 s where it
// continues without end.
func (b *bed) rudeClients(s *steward, count int) {
	kinds := []func(net.Conn){
		func(net.Conn) {},
		func(c net.Conn) { _, _ = c.Write([]byte("*9\r\n$9\r\nSUBSCRIBE\r\n$5\r\npro")) },
		func(c net.Conn) { _, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")) },
		func(c net.Conn) { _, _ = c.Write([]byte("*1000000000\r\n")) },
		func(c net.Conn) { _, _ = c.Write([]byte("*2\r\n$99999999999999\r\nabc")) },
		func(c net.Conn) {
			_, _ = c.Write(encode("SUBSCRIBE", "proxy", "70000", "zone", b.set.Zones[0], "weight", "1", "fresh", "1"))
		},
		func(c net.Conn) { _, _ = c.Write(encode("SOURCE", "zone", "nowhere")) },
		func(c net.Conn) {
			_, _ = c.Write(encode("RATE", "proxy", "1", "class", b.set.Classes[0].Name, "tries", "9", "failed", "0", "span_ms", "1000.0"))
		},
		func(c net.Conn) { _, _ = c.Write(encode("CONFIG", "replace", "1", "rows", "x:1")) },
		func(c net.Conn) {
			for range 40 {
				if _, err := c.Write(encode("PING")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		func(c net.Conn) {
			for range 40 {
				if _, err := c.Write([]byte(strings.Repeat("x", 100))); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
		func(c net.Conn) {
			_, _ = c.Write([]byte("*3\r\n"))
			for range 40 {
				if _, err := c.Write([]byte("$1\r\na\r\n")[:1]); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
	}
	var wait sync.WaitGroup
	for i := range count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			conn, err := net.DialTimeout("tcp", s.address, 3*time.Second)
			if err != nil {
				return
			}
			began := time.Now()
			defer conn.Close()
			kind := i % len(kinds)
			go kinds[kind](conn)
			_ = conn.SetReadDeadline(began.Add(6 * time.Second))
			_, err = io.Copy(io.Discard, conn)
			took := time.Since(began)
			_ = err
			if took > 3*time.Second && kind < 9 || took > 5900*time.Millisecond {
				b.mu.Lock()
				if s.up {
					b.breach("rude", "a bad client of kind %d was not closed after %.1f s", kind, took.Seconds())
				}
				b.mu.Unlock()
			}
		}()
	}
	wait.Wait()
}

// spoil has proxies send spoilt reports and answers.
func (b *bed) spoil(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.proxies {
		if p.conn == nil || b.random.Float64() > part {
			continue
		}
		p.write(encode("ACK", "proxy", "x", "mark", "-1", "took_ms", "1"))
		p.write(encode("RATE", "proxy", "999999", "class", "none", "tries", "1e9", "failed", "-1", "span_ms", "0"))
		p.write(encode("LOAD", "zone", "none", "server", "s-none", "tries", "1"))
		p.write(encode("ACK", "mark"))
	}
}
