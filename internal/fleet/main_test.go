package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/internal/fleet"
	"rhubarbpoint/internal/fleet/fleetbin"
)

var bin string

// TestMain builds the programs that the tests run as separate processes.
func TestMain(m *testing.M) {
	os.Exit(fleetbin.Main(func(built string) int {
		bin = built
		return m.Run()
	}))
}

// start runs a fleet of one region with three instances, three engines and one order service.
func start(t *testing.T, engineArgs ...string) (*gomega.WithT, *fleet.Fleet) {
	g := gomega.NewWithT(t)
	opts := fleet.DefaultOptions(bin, t.TempDir())
	opts.Regions = 1
	opts.EngineArgs = append(opts.EngineArgs, engineArgs...)
	f, err := fleet.Start(context.Background(), opts)
	t.Cleanup(func() {
		f.Stop()
		if t.Failed() {
			showLogs(t, opts.Dir)
		}
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return g, f
}

// maxLogTail is the number of bytes at the end of each instance's log that a failed test prints.
const maxLogTail = 4000

func showLogs(t *testing.T, dir string) {
	paths, _ := filepath.Glob(filepath.Join(dir, "entry-*.log"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-maxLogTail):])
	}
}

// waitTimeout bounds the wait for events that must happen eventually; tests in virtual time check the promised times.
const waitTimeout = 60 * time.Second
