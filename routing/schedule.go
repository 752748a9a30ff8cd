package routing

import (
	"encoding/binary"
	"hash/crc32"
	"sort"
)

// due is work for a later time.
type due struct {
	at float64
	do func(UpdateWriter)
}

// chance gives the next figure from 0 to 1.
func (s *Balancer) chance() float64 {
	s.counter++
	b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.fleet.Seed), s.counter)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

func (s *Balancer) add(in float64, do func(UpdateWriter)) {
	at := s.now + in
	i := sort.Search(len(s.dues), func(i int) bool { return s.dues[i].at > at })
	s.dues = append(s.dues, due{})
	copy(s.dues[i+1:], s.dues[i:])
	s.dues[i] = due{at, do}
}
