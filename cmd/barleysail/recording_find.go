package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"barleysail/replay"
)

const recordingSuffix = ".day" // suffix of the file names of recordings

var errNoControllerRecording = errors.New("none of the recordings is a controller's")

// findRecordings returns the recordings at the paths, sorted by name. A path may be a file, or a folder of files with
// the recordingSuffix.
func findRecordings(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("looking for recordings: %w", err)
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		inFolder, err := recordingsInFolder(path)
		if err != nil {
			return nil, err
		}
		names = append(names, inFolder...)
	}
	sort.Strings(names)
	return names, nil
}

func recordingsInFolder(folder string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*"+recordingSuffix))
	if err != nil {
		return nil, fmt.Errorf("looking for recordings: %w", err)
	}
	return names, nil
}

// findControllerRecordings returns the recordings of controllers at the paths. It skips the recordings of proxies,
// and files that cannot be opened. It returns errNoControllerRecording if none remains.
func findControllerRecordings(paths []string) ([]string, error) {
	names, err := findRecordings(paths)
	if err != nil {
		return nil, err
	}
	var ofControllers []string
	for _, name := range names {
		if ofProxy, err := isProxyRecording(name); err == nil && !ofProxy {
			ofControllers = append(ofControllers, name)
		}
	}
	if len(ofControllers) == 0 {
		return nil, errNoControllerRecording
	}
	return ofControllers, nil
}

// isProxyRecording reports whether a proxy made a recording, by its first record. A recording without a readable
// first record counts as a controller's; its replay then reports the damage.
func isProxyRecording(name string) (bool, error) {
	recording, err := openRecording(name)
	if err != nil {
		return false, err
	}
	defer recording.close()
	first, err := recording.Next()
	return err == nil && first.GetProxyStart() != nil, nil
}

// recordingSet opens all recordings of a replay, once for each of its passes.
type recordingSet struct {
	names []string
	open  []*recordingFile // opened for the current pass
}

// sources opens the recordings from their start, and closes those of the previous pass.
func (s *recordingSet) sources() ([]replay.Source, error) {
	s.close()
	var sources []replay.Source
	for _, name := range s.names {
		recording, err := openRecording(name)
		if err != nil {
			return nil, err
		}
		s.open = append(s.open, recording)
		sources = append(sources, replay.Source{Name: filepath.Base(name), Next: recording.Next})
	}
	return sources, nil
}

func (s *recordingSet) close() {
	for _, recording := range s.open {
		recording.close()
	}
	s.open = nil
}
