package routing

import (
	"encoding/binary"
	"hash/crc32"
	"sort"
)

// task is work for a later time.
type task struct {
	atMs float64
	run  func(UpdateWriter)
}

// jitter gives the next figure from 0 to 1.
func (s *Balancer) jitter() float64 {
	s.jitterCounter++
	b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.deployment.Seed), s.jitterCounter)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

func (s *Balancer) schedule(in float64, do func(UpdateWriter)) {
	at := s.nowMs + in
	i := sort.Search(len(s.tasks), func(i int) bool { return s.tasks[i].atMs > at })
	s.tasks = append(s.tasks, task{})
	copy(s.tasks[i+1:], s.tasks[i:])
	s.tasks[i] = task{at, do}
}
