package platform

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// minLogInterval is the shortest time between two log lines of the same warning.
const minLogInterval = 5 * time.Second

// rateLimitedLog logs warnings at a limited rate, since a peer that often does something wrong must not fill the log.
// It keeps a count for each text and never drops one, so texts must be constants of this package. It is safe for
// concurrent use.
type rateLimitedLog struct {
	log zerolog.Logger
	now func() time.Time

	mu       sync.Mutex // guards the fields below
	warnings map[string]*warningCount
}

// warningCount is how often a warning occurred and when it was last logged.
type warningCount struct {
	count        int
	lastLoggedAt time.Time
}

func newRateLimitedLog(log zerolog.Logger, now func() time.Time) *rateLimitedLog {
	return &rateLimitedLog{log: log, now: now, warnings: map[string]*warningCount{}}
}

// warn counts a warning. Unless the same text was logged less than minLogInterval ago, it logs the text with the cause,
// which may be nil, and the count so far.
func (l *rateLimitedLog) warn(text string, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	warning := l.warnings[text]
	if warning == nil {
		warning = &warningCount{}
		l.warnings[text] = warning
	}
	warning.count++
	now := l.now()
	if warning.count > 1 && now.Sub(warning.lastLoggedAt) < minLogInterval {
		return
	}
	warning.lastLoggedAt = now
	l.log.Warn().Int("occurrences", warning.count).Err(cause).Msg(text)
}
