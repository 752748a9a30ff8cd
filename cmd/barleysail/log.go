package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
)

const (
	defaultLogLevel = "info"
	logLevelHelp    = "least level that is logged: debug, info, warn or error"
)

// newLogger returns a logger of JSON lines on standard error, for messages of at least a level.
func newLogger(minLevel string) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(minLevel)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("--log-level: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(), nil
}
