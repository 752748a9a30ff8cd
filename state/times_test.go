package state

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// Instants of measurement move, those that come from outside stay.
func TestShiftTimes(t *testing.T) {
	const offsetMs = 250
	shifted := sampleState()
	ShiftTimes(shifted, offsetMs)
	want := sampleState()
	want.At += offsetMs
	want.Fleet.At += offsetMs
	want.Proxies[0].At += offsetMs
	for _, host := range want.Hosts {
		host.At += offsetMs
	}
	if !proto.Equal(shifted, want) {
		t.Errorf("shifted to %v, want %v", shifted, want)
	}
}
