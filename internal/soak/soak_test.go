package soak_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/internal/fleet/fleetbin"
	"rhubarbpoint/internal/soak"
)

var bin string

// TestMain builds the programs that the soak runs as separate processes.
func TestMain(m *testing.M) {
	os.Exit(fleetbin.Main(func(built string) int {
		bin = built
		return m.Run()
	}))
}

// Injects the faults of one seed into real processes for a short time. Guards against requests that are executed twice
// or after a refusal, responses that are truncated, mixed up or of another request, graceful stops that cut off
// requests, routes that return to an older version, two holders that give orders alternately, and a fleet that does not
// recover.
func TestShortSoak(t *testing.T) {
	g := gomega.NewWithT(t)
	result, err := soak.Run(context.Background(), soak.Options{Bin: bin, Dir: t.TempDir(), Seed: 1, Length: 6 * time.Second})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("%+v", result.Counts)
	g.Expect(result.Violations).To(gomega.BeEmpty())
	g.Expect(result.Counts.Served).To(gomega.BeNumerically(">", 0))
}
