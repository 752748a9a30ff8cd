package routing

import "testing"

func TestEventText(t *testing.T) {
	names := func(host int) string { return []string{"10.0.0.3:80", "10.0.0.4:80"}[host] }
	for _, test := range []struct {
		name  string
		event Event
		want  string
	}{
		{
			name:  "host with figures",
			event: Event{HostEjected, 0, []Field{{"consecutive_failures", 3, 0}, {"remaining_weight_ratio", 0.666, 2}}},
			want:  "host ejected: host 10.0.0.3:80, consecutive_failures 3, remaining_weight_ratio 0.67",
		},
		{
			name:  "host without figures",
			event: Event{HostRecovering, 1, nil},
			want:  "host recovering: host 10.0.0.4:80",
		},
		{
			name:  "fleet",
			event: Event{SlowStartChanged, NoHost, []Field{{"allowed", indicator(true), 0}}},
			want:  "slow start changed: allowed 1",
		},
		{
			name:  "unknown kind",
			event: Event{EventKind(99), NoHost, []Field{{"hosts", 2, 0}}},
			want:  "event 99: hosts 2",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.event.Text(names); got != test.want {
				t.Errorf("got  %q\nwant %q", got, test.want)
			}
		})
	}
}
