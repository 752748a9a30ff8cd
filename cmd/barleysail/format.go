package main

import (
	"strconv"
	"time"
)

// formatNumber writes a number with four significant digits.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', 4, 64) }

// formatTime writes an instant, in ms since the Unix epoch, as UTC to the millisecond.
func formatTime(atMs float64) string {
	return instant(atMs).Format("2006-01-02 15:04:05.000")
}

// instant converts ms since the Unix epoch to a time in UTC.
func instant(atMs float64) time.Time { return time.UnixMicro(int64(atMs * 1000)).UTC() }

// seconds converts ms to seconds.
func seconds(ms float64) float64 { return ms / 1000 }
