package client

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"
)

// spreadFactor is 2^64 divided by the golden ratio, rounded to an odd number: Fibonacci hashing spreads a counter
// over all bits.
const spreadFactor = 0x9e3779b97f4a7c15

// ejection is this proxy's record of a host with failed attempts.
type ejection struct {
	consecutiveFailures int
	until               time.Time // end of the ejection; zero: none yet
}

// random returns a random number from 0 to below 1. The counter is spread before the checksum because CRC-32 is
// linear: every second draw of plain counters would not be uniform. The caller holds the lock.
func (c *Client) random() float64 {
	c.draws++
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], c.seed)
	binary.LittleEndian.PutUint64(input[8:], c.draws*spreadFactor)
	return float64(crc32.ChecksumIEEE(input[:])) / (1 << 32)
}

// Pick returns a random host for a request class, by weight and without the excluded hosts. Ejected hosts are picked
// only if no others remain; ok is false if there is no host at all.
func (c *Client) Pick(class string, excluded ...string) (host string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.table(class)
	now := c.options.Now()
	draw := c.random()
	isExcluded := func(address string) bool { return slices.Contains(excluded, address) }
	host, ok = table.pick(draw, func(address string) bool {
		return isExcluded(address) || c.isEjected(address, now)
	})
	if ok {
		return host, true
	}
	return table.pick(draw, isExcluded)
}

func (c *Client) isEjected(address string, now time.Time) bool {
	state := c.ejections[address]
	return state != nil && now.Before(state.until)
}

// updateEjection counts a host's failures in a row, and ejects it after Options.EjectAfterFailures of them. The caller
// holds the lock.
func (c *Client) updateEjection(host string, result Result) {
	if result == Fulfilled {
		delete(c.ejections, host)
		return
	}
	state := c.ejections[host]
	if state == nil {
		state = &ejection{}
		c.ejections[host] = state
	}
	state.consecutiveFailures++
	if state.consecutiveFailures >= c.options.EjectAfterFailures {
		state.consecutiveFailures = 0
		state.until = c.options.Now().Add(c.options.EjectionTime)
	}
}

// pick returns the host that a draw, a number from 0 to below 1, selects by weight, without the excluded hosts.
func (t Table) pick(draw float64, isExcluded func(address string) bool) (address string, ok bool) {
	total := 0.0
	for _, host := range t.Hosts {
		if !isExcluded(host.Address) {
			total += host.Weight
		}
	}
	for _, host := range t.Hosts {
		if isExcluded(host.Address) {
			continue
		}
		address = host.Address
		ok = true
		if draw*total < host.Weight {
			break
		}
		draw -= host.Weight / total
	}
	return address, ok
}
