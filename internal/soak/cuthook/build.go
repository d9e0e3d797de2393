// Package cuthook builds the program rhubarbpoint with a hook by which single processes are cut off from replicas. No source
// of the program is changed: a file is added to its package main, which sets the function that package net connects with.
package cuthook

import (
	_ "embed"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

//go:embed hook.go.txt
var hook []byte

// PathEnv names the variable with the path of the file that cuts a process off.
const PathEnv = "SOAK_CUT_FILE"

// Build writes the program to a folder and returns its path. It must run inside the module.
func Build(dir string) (string, error) {
	folder, err := exec.Command("go", "list", "-f", "{{.Dir}}", "rhubarbpoint/cmd/rhubarbpoint").Output()
	if err != nil {
		return "", errors.Wrap(err, "cuthook: go list")
	}
	source, overlay, program := filepath.Join(dir, "hook.go"), filepath.Join(dir, "overlay.json"), filepath.Join(dir, "rhubarbpoint-cut")
	files, err := json.Marshal(map[string]map[string]string{
		"Replace": {filepath.Join(strings.TrimSpace(string(folder)), "soak_cut_hook.go"): source},
	})
	if err != nil {
		return "", errors.Wrap(err, "cuthook")
	}
	if err := errors.CombineErrors(os.WriteFile(source, hook, 0o600), os.WriteFile(overlay, files, 0o600)); err != nil {
		return "", errors.Wrap(err, "cuthook")
	}
	build := exec.Command("go", "build", "-overlay", overlay, "-ldflags=-checklinkname=0", "-o", program, "rhubarbpoint/cmd/rhubarbpoint")
	build.Stderr = os.Stderr
	return program, errors.Wrap(build.Run(), "cuthook: go build")
}
