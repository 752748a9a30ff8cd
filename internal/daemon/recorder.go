package daemon

import (
	"github.com/rs/zerolog"

	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// recordingFlushMs is the interval between flushes of a recording, in ms. A crash loses at most the records of one
// interval.
const recordingFlushMs = 1000

// recorder writes the inputs and responses of a controller to a recording. An I/O error ends the recording and is
// logged once; it never affects the controller. On a nil recorder, which records nothing, write must not be called and
// the other methods do nothing. It is not safe for concurrent use: the controller loop's mutex guards it.
type recorder struct {
	writer      *record.Writer
	log         zerolog.Logger
	failed      bool
	nextFlushMs float64
}

// write appends a record.
func (r *recorder) write(entry *recordpb.Record) { r.logFirstError(r.writer.Write(entry)) }

// flushIfDue flushes the recording at most once per recordingFlushMs.
func (r *recorder) flushIfDue(nowMs float64) {
	if r == nil || nowMs < r.nextFlushMs {
		return
	}
	r.nextFlushMs = nowMs + recordingFlushMs
	r.logFirstError(r.writer.Flush())
}

// close marks the end of the recording and flushes it. The file stays open.
func (r *recorder) close() {
	if r == nil {
		return
	}
	r.logFirstError(r.writer.Close())
}

// logFirstError logs the first error. The writer returns the same error from each later call.
func (r *recorder) logFirstError(err error) {
	if err == nil || r.failed {
		return
	}
	r.failed = true
	r.log.Error().Err(err).Msg("recording stopped")
}
