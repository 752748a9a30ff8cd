package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// logger writes to standard error what is of a level or over it.
func logger(level string) (zerolog.Logger, error) {
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fmt.Errorf("--log-level: %w", err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(os.Stderr).Level(least).With().Timestamp().Logger(), nil
}
