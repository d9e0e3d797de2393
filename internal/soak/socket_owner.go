package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// localPorts returns the local ports of the IPv4 TCP connections of processes.
func localPorts(pids []int) map[int]bool {
	sockets := make(map[string]bool)
	for _, pid := range pids {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if name, err := os.Readlink(file); err == nil && strings.HasPrefix(name, "socket:[") {
				sockets[strings.Trim(name, "socket:[]")] = true
			}
		}
	}
	ports := make(map[int]bool)
	table, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || !sockets[fields[9]] {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if n, err := strconv.ParseUint(port, 16, 16); err == nil {
			ports[int(n)] = true
		}
	}
	return ports
}
