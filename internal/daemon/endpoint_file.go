package daemon

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/internal/config"
)

// endpointFile follows a host list in a file. What cannot be read, does not parse or is empty leaves the last good
// list standing, and is logged.
type endpointFile struct {
	path     string
	log      zerolog.Logger
	publish  func([]controller.Endpoint) error
	lastText []byte
}

// settleDelay is waited after a change, since an editor writes in several steps.
const settleDelay = 50 * time.Millisecond

// recheckInterval is how often the file is looked at where its folder tells no changes.
const recheckInterval = 2 * time.Second

func (l *endpointFile) reload() error {
	text, err := os.ReadFile(l.path)
	if err != nil {
		return fmt.Errorf("reading the host list: %w", err)
	}
	if l.lastText != nil && bytes.Equal(text, l.lastText) {
		return nil
	}
	l.lastText = text
	entries, err := config.Hosts(l.path, text)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return fmt.Errorf("%s: no host is listed", l.path)
	}
	if err := l.publish(entries); err != nil {
		return config.Refused(l.path, text, err)
	}
	l.log.Info().Int("hosts", len(entries)).Msg("host list read")
	return nil
}

// watch reads the file again whenever it changes, until the context ends.
func (l *endpointFile) watch(ctx context.Context) {
	var events chan fsnotify.Event
	watcher, err := fsnotify.NewWatcher()
	if err == nil {
		defer watcher.Close()
		err = watcher.Add(filepath.Dir(l.path))
		events = watcher.Events
	}
	if err != nil {
		l.log.Warn().Err(err).Msg("the folder of the host list tells no changes; looking every two seconds")
	}
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e, ok := <-events:
			if !ok {
				events = nil
			} else if filepath.Clean(e.Name) == filepath.Clean(l.path) {
				timer.Reset(settleDelay)
			}
		case <-timer.C:
			timer.Reset(recheckInterval)
			if err := l.reload(); err != nil {
				l.log.Error().Err(err).Msg("host list refused, the last one stands")
			}
		}
	}
}
