// Command lab2 plays one case of the review against processes of the system, with stand-ins of the platform's store,
// replicas and clients in this process.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// lab is what every case uses.
type lab struct {
	program string // of the system
	dir     string // for settings and logs
	trouble bool
	store   *store
	address string // of the store
	record  *record
	nodes   []*node
	// descriptors bounds the descriptors of an instance, 0 if nothing does.
	descriptors int
}

// cases are the cases by the numbers of their folders.
var cases = map[string]func(*lab) (int, error){"6": foreignEntry, "7": idleConnections, "8": oddLeaving, "9": largeEntries}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(one func(*lab) (int, error), folder string) int {
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	code, err := couldNot, error(nil)
	if l.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer l.record.close()
	if err = l.open(); err == nil {
		code, err = one(l)
	}
	for _, n := range l.nodes {
		n.kill()
	}
	_ = os.RemoveAll(l.dir)
	if err != nil {
		l.record.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	l.record.log("result: exit code %d (1 broken, 0 held)", code)
	fmt.Printf("trouble %t: exit code %d\n", l.trouble, code)
	return code
}

// open finds the system's program and starts the store.
func (l *lab) open() error {
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	l.program = filepath.Join(root, "target", "rhubarbpoint")
	if _, err := os.Stat(l.program); err != nil {
		return err
	}
	if l.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, l.store.handler()) }()
	return nil
}

// startNodes starts an instance in each zone and waits until all are ready.
func (l *lab) startNodes(zones []string, regions map[string]string) error {
	nodes, err := newNodes(l.dir, l.address, zones, regions)
	if err != nil {
		return err
	}
	l.nodes = nodes
	for _, n := range nodes {
		if err := n.start(l.program, l.descriptors); err != nil {
			return err
		}
	}
	for _, n := range nodes {
		if err := n.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // the instances find each other
	return nil
}
