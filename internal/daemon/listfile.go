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

// listFile follows a host list in a file. What cannot be read, does not parse or is empty leaves the last good
// list standing, and is logged.
type listFile struct {
	file string
	log  zerolog.Logger
	take func([]controller.Endpoint) error
	last []byte
}

// settle is waited after a change, since an editor writes in several steps.
const settle = 50 * time.Millisecond

// recheck is how often the file is looked at where its folder tells no changes.
const recheck = 2 * time.Second

func (l *listFile) read() error {
	text, err := os.ReadFile(l.file)
	if err != nil {
		return fmt.Errorf("reading the host list: %w", err)
	}
	if l.last != nil && bytes.Equal(text, l.last) {
		return nil
	}
	l.last = text
	entries, err := config.Hosts(l.file, text)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return fmt.Errorf("%s: no host is listed", l.file)
	}
	if err := l.take(entries); err != nil {
		return config.Refused(l.file, text, err)
	}
	l.log.Info().Int("hosts", len(entries)).Msg("host list read")
	return nil
}

// follow reads the file again whenever it changes, until the context ends.
func (l *listFile) follow(ctx context.Context) {
	var events chan fsnotify.Event
	watcher, err := fsnotify.NewWatcher()
	if err == nil {
		defer watcher.Close()
		err = watcher.Add(filepath.Dir(l.file))
		events = watcher.Events
	}
	if err != nil {
		l.log.Warn().Err(err).Msg("the folder of the host list tells no changes; looking every two seconds")
	}
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e, ok := <-events:
			if !ok {
				events = nil
			} else if filepath.Clean(e.Name) == filepath.Clean(l.file) {
				timer.Reset(settle)
			}
		case <-timer.C:
			timer.Reset(recheck)
			if err := l.read(); err != nil {
				l.log.Error().Err(err).Msg("host list refused, the last one stands")
			}
		}
	}
}
