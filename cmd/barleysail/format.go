package main

import (
	"strconv"
	"time"
)

const (
	msPerSecond       = 1000
	microsecondsPerMs = 1000
)

// formatNumber formats a number with four significant digits.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', 4, 64) }

// formatTime formats an instant, in ms since the Unix epoch, in UTC with milliseconds.
func formatTime(atMs float64) string {
	return instant(atMs).Format("2006-01-02 15:04:05.000")
}

// instant converts ms since the Unix epoch to a time in UTC.
func instant(atMs float64) time.Time { return time.UnixMicro(int64(atMs * microsecondsPerMs)).UTC() }

// seconds converts ms to seconds.
func seconds(ms float64) float64 { return ms / msPerSecond }
