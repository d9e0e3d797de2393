package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is one instance of the system: the program and the arguments of deploy/system.toml.
type node struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	ended              chan struct{}
}

func freeAddr() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("no free port: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// newNode writes the settings that platform/settings.json.tmpl renders for an instance. peers are the addresses of
// other instances.
func newNode(dir, name, zone, store, peer string, peers []string) *node {
	n := &node{name: name, front: freeAddr(), ready: freeAddr(), settings: filepath.Join(dir, name+".json")}
	if peers == nil {
		peers = []string{peer}
	}
	data, _ := json.MarshalIndent(map[string]any{
		"retry_share": 0.2, "retry_window": "10s", "stop_within": "8s", "instance": name, "region": "viti-levu-west", "zone": zone,
		"zones":         []map[string]string{{"name": zone, "region": "viti-levu-west"}},
		"caller_listen": n.front, "operator_listen": n.ready, "metrics_listen": freeAddr(), "peer_listen": peer, "peers": peers,
		"platform": store, "routes": "platform", "drain_delay": "2.9s",
	}, "", "  ")
	if err := os.WriteFile(n.settings, data, 0o644); err != nil {
		fatal("settings: %v", err)
	}
	return n
}

// start starts the process and waits until it is ready.
func (n *node) start() {
	n.cmd = exec.Command("target/rhubarbpoint", "serve", "-settings", n.settings)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "RHUBARBPOINT_BOOT=" + n.settings}
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal("log: %v", err)
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		fatal("start %s: %v", n.name, err)
	}
	log.Close()
	n.ended = make(chan struct{})
	go func() { n.cmd.Wait(); close(n.ended) }()
	runningMu.Lock()
	running = append(running, n)
	runningMu.Unlock()
	for range 200 {
		if resp, err := http.Get("http://" + n.ready + "/readyz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fatal("%s is not ready after 10 s", n.name)
}

// running are the instances that were started.
var (
	runningMu sync.Mutex
	running   []*node
)

func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, n := range running {
		n.cmd.Process.Kill()
		<-n.ended
	}
	running = nil
}

// fatal ends the run as one that could not be carried out.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(2)
}
