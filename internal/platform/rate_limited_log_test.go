package platform

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/golden"
)

// A warning that occurs more often than once per minLogInterval is logged at that interval, with its count so far.
func TestRateLimitedLog(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(0, 0)
	warnings := newRateLimitedLog(zerolog.New(&output), func() time.Time { return now })
	for range 1000 {
		warnings.warn(droppedMessageText("LOAD"), errors.New("x"))
		warnings.warn(droppedMessageText("WHATEVER"), nil)
		now = now.Add(10 * time.Millisecond)
	}
	golden.CompareForTest(t, output.String())
}
