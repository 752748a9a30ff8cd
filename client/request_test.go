package client

import (
	"context"
	"errors"
	"fmt"
	"testing"
)

// retryDocument has the classes "once" and "safe" with four hosts and a retry policy.
func retryDocument(retryPolicy int) string {
	table := fmt.Sprintf(`{"hosts":{"a:1":1,"b:1":1,"c:1":1,"d:1":1},"tries":%d}`, retryPolicy)
	return fmt.Sprintf(`{"tables":{"once":%s,"safe":%[1]s}}`, table)
}

// Retries follow the table's policy, and a class that is not idempotent is retried only after NeverRan.
func TestRetries(t *testing.T) {
	for _, test := range []struct {
		retryPolicy int
		class       string
		result      Result
		want        int // attempts, each at another host
	}{
		{noRetry, "safe", NeverRan, 1},
		{retryNeverRan, "safe", Failed, 1},
		{retryNeverRan, "safe", NeverRan, 2},
		{retryNeverRan, "once", NeverRan, 2},
		{retryNeverRan, "once", Failed, 1},
		{retryOnce, "safe", Failed, 2},
		{retryTwice, "safe", Failed, 3},
		{retryTwice, "once", Failed, 1},
		{retryTwice, "once", NeverRan, 3},
		{retryOnce, "once", Failed, 1},
	} {
		t.Run(fmt.Sprintf("policy %d of %s after result %d", test.retryPolicy, test.class, test.result), func(t *testing.T) {
			client := newTestClient(t, Options{IdempotentClasses: []string{"safe"}}, retryDocument(test.retryPolicy))
			hosts := map[string]bool{}
			err := client.Do(context.Background(), test.class, func(_ context.Context, host string) Outcome {
				hosts[host] = true
				return Outcome{Result: test.result}
			})
			if len(hosts) != test.want || !errors.Is(err, errAttemptFailed) {
				t.Errorf("got %d attempted hosts and the error %v, want %d and %v", len(hosts), err, test.want, errAttemptFailed)
			}
		})
	}
}

// The error of the last attempt is wrapped, and the recorded request has all attempts.
func TestDoRecordsRequest(t *testing.T) {
	var recorded Request
	options := Options{
		IdempotentClasses: []string{"safe"},
		OnRequestEnd:      func(request Request) { recorded = request },
	}
	client := newTestClient(t, options, retryDocument(retryOnce))
	errBroken := errors.New("broken")
	err := client.Do(context.Background(), "safe", func(context.Context, string) Outcome {
		return Outcome{Result: Failed, Err: errBroken}
	})
	if !errors.Is(err, errBroken) {
		t.Errorf("error of Do: got %v, want %v", err, errBroken)
	}
	if !recorded.Admitted || recorded.Fulfilled || len(recorded.Attempts) != 2 {
		t.Errorf("record of the failed request: got %+v, want two attempts", recorded)
	}
	err = client.Do(context.Background(), "safe", func(context.Context, string) Outcome { return Outcome{} })
	if err != nil || !recorded.Fulfilled || len(recorded.Attempts) != 1 {
		t.Errorf("record of the successful request: got %+v, error %v, want one attempt", recorded, err)
	}
}

// A request without any host, or after whose first attempt the context has ended, is not retried.
func TestDoWithoutHostOrContext(t *testing.T) {
	client := newTestClient(t, Options{}, "")
	err := client.Do(context.Background(), "safe", func(context.Context, string) Outcome { return Outcome{} })
	if !errors.Is(err, ErrNoHost) {
		t.Errorf("error of Do without hosts: got %v, want %v", err, ErrNoHost)
	}

	client = newTestClient(t, Options{IdempotentClasses: []string{"safe"}}, retryDocument(retryTwice))
	ctx, cancel := context.WithCancel(context.Background())
	attempts := 0
	err = client.Do(ctx, "safe", func(context.Context, string) Outcome {
		attempts++
		cancel()
		return Outcome{Result: NeverRan}
	})
	if err == nil || attempts != 1 {
		t.Errorf("after the context ended: got %d attempts and the error %v, want 1 and an error", attempts, err)
	}
}
