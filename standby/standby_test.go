package standby

import "testing"

func TestActiveOnceLeaseExpires(t *testing.T) {
	standby := New(Limits{LeaseMs: 3000})
	standby.ObserveSessions(1000, []string{"proxy"})
	if serve, retryAfterMs := standby.ShouldServe(2000, "proxy"); serve || retryAfterMs != 2000 {
		t.Errorf("served %v, retry after %g ms", serve, retryAfterMs)
	}
	standby.Heartbeat(3000)
	if serve, _ := standby.ShouldServe(5999, "proxy"); serve {
		t.Error("served although the leader's lease is valid")
	}
	if active, _ := standby.Active(); active || standby.RejectedPolls() != 2 {
		t.Errorf("active %v, %d rejected polls", active, standby.RejectedPolls())
	}
	if serve, _ := standby.ShouldServe(6000, "proxy"); !serve {
		t.Error("not served although the leader's lease has expired")
	}
	if active, sinceMs := standby.Active(); !active || sinceMs != 6000 || standby.LeaseValid(6000) {
		t.Errorf("active %v since %g", active, sinceMs)
	}
}
