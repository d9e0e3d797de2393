package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct{ request, replica, service, target string }

// record collects what was sent, answered and run, and writes it to a file.
type record struct {
	start time.Time

	mu   sync.Mutex
	out  *bufio.Writer
	file *os.File
	runs map[string][]run
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: bufio.NewWriter(file), file: file, runs: map[string][]run{}}, nil
}

// log writes a line with the time since the start.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(one run) {
	r.log("run %s by %s (service %s): %s", one.request, one.replica, one.service, one.target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[one.request] = append(r.runs[one.request], one)
}

// runsOf returns the runs of a request.
func (r *record) runsOf(request string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[request]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
