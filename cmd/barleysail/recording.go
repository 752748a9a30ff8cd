package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"barleysail/internal/record"
)

// recordingFile is a recording that is being read.
type recordingFile struct {
	*record.Reader
	file *os.File
}

func openRecording(name string) (*recordingFile, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("opening the recording: %w", err)
	}
	return &recordingFile{record.NewReader(file), file}, nil
}

// close closes the file. Its error is dropped: the file was only read, so nothing can be lost.
func (r *recordingFile) close() { _ = r.file.Close() }

// printFaults prints which parts of the recording were damaged and passed over.
func (r *recordingFile) printFaults(p *printer) {
	for _, fault := range r.Faults {
		p.printf("damaged: %v\n", fault)
	}
}

// condition says in a few words whether a recording, read to its end, is complete.
func (r *recordingFile) condition() string {
	switch {
	case len(r.Faults) > 0:
		return fmt.Sprintf("%d parts damaged", len(r.Faults))
	case !r.Clean():
		return "not ended cleanly"
	}
	return "whole"
}

// isDamaged tells whether a recording that ended by an error is damaged or incomplete.
func (r *recordingFile) isDamaged(end error) bool {
	return len(r.Faults) > 0 || !errors.Is(end, io.EOF)
}

// isReadError tells whether a recording ended by an error other than its end, or a record that a crash cut off.
func isReadError(end error) bool {
	return end != nil && !errors.Is(end, io.EOF) && !errors.Is(end, record.ErrTorn)
}

// countRecords reads a recording to its end. It returns the number of records and why the recording ended, io.EOF at a
// proper end.
func countRecords(recording *recordingFile) (count int, end error) {
	for {
		if _, err := recording.Next(); err != nil {
			return count, err
		}
		count++
	}
}
