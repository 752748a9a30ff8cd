package client

import (
	"context"
	"fmt"
	"testing"
)

// Further tries follow the table's way, and for a class that must not run twice only proof that a try never ran.
func TestTries(t *testing.T) {
	table := func(tries int) string {
		return fmt.Sprintf(`{"tables":{"once":{"hosts":{"a:1":1,"b:1":1,"c:1":1,"d:1":1},"tries":%d},"safe":{"hosts":{"a:1":1,"b:1":1,"c:1":1,"d:1":1},"tries":%[1]d}}}`, tries)
	}
	for _, x := range []struct {
		tries int
		class string
		how   Result
		want  int
	}{{0, "safe", NeverRan, 1}, {1, "safe", Failed, 1}, {1, "safe", NeverRan, 2}, {1, "once", NeverRan, 2}, {1, "once", Failed, 1},
		{2, "safe", Failed, 2}, {3, "safe", Failed, 3}, {3, "once", Failed, 1}, {3, "once", NeverRan, 3}, {2, "once", Failed, 1}} {
		c := made(t, Options{Repeats: []string{"safe"}}, table(x.tries))
		seen := map[string]bool{}
		err := c.Do(context.Background(), x.class, func(_ context.Context, host string) Try {
			seen[host] = true
			return Try{Result: x.how}
		})
		if len(seen) != x.want || err == nil {
			t.Errorf("tries %d of %s after %d: %d hosts, %v", x.tries, x.class, x.how, len(seen), err)
		}
	}
}
