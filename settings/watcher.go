package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is how often the settings file is read, because it can change without a signal.
const pollInterval = 2 * time.Second

// Watch reads a settings file again after each signal on hup and every two seconds, until the context ends. After a
// signal and after each change it calls apply with the settings, or failed with the reason why they are invalid. It
// also calls failed each time that the file cannot be read.
func Watch(ctx context.Context, path string, hup <-chan os.Signal, apply func(*Settings), failed func(error)) {
	last, _ := os.ReadFile(path) // Load has already reported an error
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, last) && !signalled {
			continue
		}
		var next *Settings
		if err == nil {
			last = data
			next, err = Parse(data)
		}
		if err != nil {
			failed(err)
			continue
		}
		apply(next)
	}
}
