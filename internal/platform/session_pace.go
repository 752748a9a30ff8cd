package platform

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// sessionMessagesPerSecond bounds the messages that are read from one session, so that one peer does not use the
	// processor time that the others need. All reports that a controller gets are far fewer.
	sessionMessagesPerSecond = 10000

	// bytesPerPacedMessage is the size up to which a message counts as one; a larger one counts as several.
	bytesPerPacedMessage = 4 << 10
)

// sessionPace limits the rate at which the messages of one session are read. What arrives faster waits in the peer's
// connection, and nothing is dropped.
type sessionPace struct {
	limiter *rate.Limiter
}

func newSessionPace() sessionPace {
	return sessionPace{rate.NewLimiter(sessionMessagesPerSecond, sessionMessagesPerSecond)}
}

// wait waits until a message may be handled.
func (p sessionPace) wait(words []string) {
	bytes := 0
	for _, word := range words {
		bytes += len(word)
	}
	time.Sleep(p.limiter.ReserveN(time.Now(), 1+bytes/bytesPerPacedMessage).Delay())
}
