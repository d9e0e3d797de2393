package soak

import (
	"log/slog"
	"os"
	"path/filepath"
)

// timelineFile is the file, beside the logs of the processes, in which the faults of a soak are recorded.
const timelineFile = "soak.log"

// timeline records what a soak does and when. It is safe for concurrent use.
type timeline struct {
	*slog.Logger
	file *os.File
}

func newTimeline(dir string) (*timeline, error) {
	file, err := os.Create(filepath.Join(dir, timelineFile))
	if err != nil {
		return nil, err
	}
	return &timeline{slog.New(slog.NewJSONHandler(file, nil)), file}, nil
}
