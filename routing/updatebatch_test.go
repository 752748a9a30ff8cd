package routing

import "testing"

func TestBatchFits(t *testing.T) {
	channel := ControlChannel{MaxBacklog: 100, MaxMessages: 20}
	for _, test := range []struct {
		name         string
		batch        updateBatch
		proxies      int
		messagesSent int
		want         bool
	}{
		{"just fits", updateBatch{backlog: 20, messageOverhead: 5, assigned: 5}, 5, 0, true},
		{"overhead too large", updateBatch{backlog: 21, messageOverhead: 5, assigned: 5}, 5, 0, false},
		{"overhead already counted", updateBatch{backlog: 45, messageOverhead: 5, assigned: 5, proxies: 5}, 5, 0, true},
		{"too much unacknowledged", updateBatch{backlog: 10, unacknowledged: 91, assigned: 5}, 5, 0, false},
		{"too many messages", updateBatch{assigned: 5}, 5, 9, false},
		{"messages are sent anyway", updateBatch{assigned: 5, proxies: 5}, 5, 9, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.batch.channel = channel
			if got := test.batch.fits(test.proxies, test.messagesSent, 0.5); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
