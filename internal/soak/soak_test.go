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

// Plays the faults of one seed for a short time against real processes. Guards against requests that run twice or after a
// refusal, answers that are cut, mixed or another's, stops that break requests off, routes that go back, two holders that
// give orders in turns, and a fleet that does not recover.
func TestShortSoak(t *testing.T) {
	g := gomega.NewWithT(t)
	result, err := soak.Run(context.Background(), soak.Options{Bin: bin, Dir: t.TempDir(), Seed: 1, Length: 6 * time.Second})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("%+v", result.Counts)
	g.Expect(result.Violations).To(gomega.BeEmpty())
	g.Expect(result.Counts.Served).To(gomega.BeNumerically(">", 0))
}
