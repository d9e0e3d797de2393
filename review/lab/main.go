// Command lab runs the cases of this review that are scripts. Its stand-ins of the store, the replicas and the clients
// speak what the users' pages say, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// trouble is unset by TROUBLE=0: the same run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// record is the list of what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var record *recorder

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

var cases = map[string]func(dir string) (broken int, summary string){
	"resume-error":  resumeError,
	"config-storm":  configStorm,
	"config-memory": configMemory,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fatal("%v", err)
	}
	record = &recorder{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		fatal("ended by %v", <-signals)
	}()
	broken, summary := cases[os.Args[1]](dir)
	stopAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	record.printf("result: %s", summary)
	fmt.Println(summary)
	if broken > 0 {
		os.Exit(1)
	}
}
