package controller

import (
	"slices"
	"testing"
)

// A version acknowledges its own stamps and those of all versions before it, in the order in which they were sent, each
// once.
func TestStampsOfAcknowledgedVersions(t *testing.T) {
	tests := []struct {
		name string
		acks []int64
		want [][]int
	}{
		{"each version by itself", []int64{3, 5, 9}, [][]int{{1, 2}, nil, {3}}},
		{"a later version counts for earlier ones", []int64{9}, [][]int{{1, 2, 3}}},
		{"a version is acknowledged once", []int64{5, 5, 3, 9}, [][]int{{1, 2}, nil, nil, {3}}},
		{"no version", []int64{0, 9}, [][]int{nil, {1, 2, 3}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			proxy := &proxySession{versions: []version{
				{number: 3, stamps: []int{1, 2}},
				{number: 5},
				{number: 9, stamps: []int{3}},
			}}
			for i, number := range test.acks {
				if got := proxy.acknowledge(number); !slices.Equal(got, test.want[i]) {
					t.Errorf("version %d acknowledges the stamps %v, want %v", number, got, test.want[i])
				}
			}
		})
	}
}

// An acknowledgement counts at once, also while a message of the same round waits for another proxy; that proxy's own
// stamps stay unacknowledged.
func TestAcknowledgeAtOnce(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	h.poll(PollRequest{Proxy: "q", WaitMs: 30000})
	for len(h.responses) == 0 {
		h.advance(1)
	}
	p := h.sessions.byProxy["p"]
	q := h.sessions.byProxy["q"]
	if h.channel.inFlight == nil || h.channel.inFlight.session != q {
		t.Fatalf("the message in flight is %+v, want the one to q", h.channel.inFlight)
	}
	sent := slices.Clone(h.channel.inFlight.stamps)
	if len(sent) == 0 || !slices.Equal(p.versions[0].stamps, sent) {
		t.Fatalf("p was sent the stamps %v and q is sent %v, want the same stamps, at least one", p.versions[0].stamps, sent)
	}
	h.poll(PollRequest{Proxy: "p", Tags: []string{h.newestTag("p")}, WaitMs: 30000})
	if p.ackedVersion != p.versions[0].number || len(p.versions[0].stamps) != 0 {
		t.Errorf("p has acknowledged version %d with the stamps %v left, want version %d and none left",
			p.ackedVersion, p.versions[0].stamps, p.versions[0].number)
	}
	if !slices.Equal(h.channel.inFlight.stamps, sent) {
		t.Errorf("the message to q has the stamps %v, want %v", h.channel.inFlight.stamps, sent)
	}
	h.advance(100)
	if !slices.Equal(q.versions[0].stamps, sent) || q.ackedVersion != 0 {
		t.Errorf("q has acknowledged version %d with the stamps %v left, want version 0 and %v left",
			q.ackedVersion, q.versions[0].stamps, sent)
	}
	h.checkTrace()
}
