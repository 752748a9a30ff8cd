package state

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// Instants at which figures were recorded are shifted. Those that come from outside the controller stay.
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
		t.Errorf("the shifted state is %v, want %v", shifted, want)
	}
}
