package client

import (
	"encoding/binary"
	"hash/crc32"
	"time"
)

type ejection struct {
	consecutiveFailures int
	until               time.Time
}

// random gives a figure from 0 to 1. The counter is spread over all bits first: the checksum is linear, so every
// other figure of plain counters, as levels draw them, would not be even. The caller holds the lock.
func (c *Client) random() float64 {
	c.draws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], c.seed)
	binary.LittleEndian.PutUint64(b[8:], c.draws*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// table gives what holds for a class.
func (c *Client) table(class string) Table {
	t, ok := c.tables.tables[class]
	if !ok {
		t = Table{Share: 1, Tries: 1}
	}
	if !t.Ordered {
		t.Hosts = c.fallbackHosts
	}
	return t
}

// Pick draws a host for a class by weight, none of those named and none that is shunned, unless only shunned
// ones are left.
func (c *Client) Pick(class string, not ...string) (host string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pick(class, not)
}

func (c *Client) pick(class string, not []string) (string, bool) {
	t, now, x := c.table(class), c.options.Now(), c.random()
	named := func(address string) bool {
		for _, n := range not {
			if n == address {
				return true
			}
		}
		return false
	}
	host, ok := t.pick(x, func(address string) bool {
		s := c.ejections[address]
		return named(address) || s != nil && now.Before(s.until)
	})
	if !ok {
		host, ok = t.pick(x, named)
	}
	return host, ok
}
