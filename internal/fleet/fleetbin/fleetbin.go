// Package fleetbin builds the programs that tests run as separate processes.
package fleetbin

import (
	"fmt"
	"os"
	"os/exec"
)

// Main builds the programs into a temporary folder, calls run with its path, and removes it. It returns the exit
// status.
func Main(run func(bin string) int) int {
	bin, err := os.MkdirTemp("", "rhubarbpoint-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	build := exec.Command("go", "build", "-o", bin, "rhubarbpoint/cmd/rhubarbpoint", "rhubarbpoint/cmd/standin")
	build.Stderr = os.Stderr
	if build.Run() != nil {
		return 1
	}
	return run(bin)
}
