package standby

import "testing"

// A proxy with a session with the leader is served, and makes the standby active, only when the lease has expired. A
// heartbeat extends the lease.
func TestActiveOnceLeaseExpires(t *testing.T) {
	standby := New(Limits{LeaseMs: 3000})
	standby.ObserveSessions(1000, []string{"proxy"})
	if serve, retryAfterMs := standby.ShouldServe(2000, "proxy"); serve || retryAfterMs != 2000 {
		t.Errorf("at 2000 ms the proxy is served: %v, retry after %g ms, want it rejected with a retry after 2000 ms",
			serve, retryAfterMs)
	}
	standby.Heartbeat(3000)
	if serve, _ := standby.ShouldServe(5999, "proxy"); serve {
		t.Error("at 5999 ms the proxy is served, want it rejected: the leader's lease is valid until 6000 ms")
	}
	if active, _ := standby.Active(); active || standby.RejectedPolls() != 2 {
		t.Errorf("active %v with %d rejected polls, want false with 2", active, standby.RejectedPolls())
	}
	if serve, _ := standby.ShouldServe(6000, "proxy"); !serve {
		t.Error("at 6000 ms the proxy is rejected, want it served: the leader's lease has expired")
	}
	if active, sinceMs := standby.Active(); !active || sinceMs != 6000 || standby.LeaseValid(6000) {
		t.Errorf("active %v since %g ms, lease valid %v, want active since 6000 ms without a valid lease",
			active, sinceMs, standby.LeaseValid(6000))
	}
}
