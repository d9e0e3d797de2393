package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one instance of the system, a process of its own.
type node struct {
	name, zone, caller, ready, peer string
	settings                        string
	process                         *exec.Cmd
	ended                           chan struct{}
}

// freeAddress returns a loopback address whose port is free. It has a host of its own where that can be had, so that no
// client's connection takes the port before the instance listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newNodes returns one instance for each zone that is named, with settings as the template of the deploy file renders them.
func newNodes(dir, store string, zones []string, regions map[string]string) ([]*node, error) {
	var nodes []*node
	var seeds []string
	for i, zone := range zones {
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone}
		for _, address := range []*string{&n.caller, &n.ready, &n.peer} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		nodes = append(nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.peer)
		}
	}
	var listed []map[string]string
	for zone, region := range regions {
		listed = append(listed, map[string]string{"name": zone, "region": region})
	}
	for _, n := range nodes {
		metrics, err := freeAddress()
		if err != nil {
			return nil, err
		}
		data, err := json.MarshalIndent(map[string]any{
			"retry_share": 0.2, "retry_window": "10s", "extra_work_share": 0, "stop_within": "8s", "memory_mb": 284, "link_mbps": 1000,
			"instance": n.name, "region": regions[n.zone], "zone": n.zone, "zones": listed, "caller_listen": n.caller,
			"operator_listen": n.ready, "metrics_listen": metrics, "peer_listen": n.peer, "peers": seeds, "platform": store,
			"routes": "platform", "drain_delay": "2.9s",
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		n.settings = filepath.Join(dir, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o644); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// start starts the process, with its log in the folder of its settings and a bound for its descriptors unless that is 0.
func (n *node) start(program string, descriptors int) error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(program, "serve", "-settings", n.settings)
	if descriptors > 0 {
		n.process = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve -settings "$1"`, descriptors), program, n.settings)
	}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		close(ended)
	}(n.process, n.ended)
	return nil
}

// awaitReady waits until the instance says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready after %s", n.name, limit)
}

// memory returns the line of the process's memory.
func (n *node) memory() string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmRSS") {
			return line
		}
	}
	return "no process"
}

// anonymous returns the bytes of the process's anonymous memory, 0 if it does not run.
func (n *node) anonymous() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	for line := range strings.Lines(string(data)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// kill ends the process.
func (n *node) kill() {
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Kill()
		<-n.ended
	}
}
