package docgen_test

import (
	"flag"
	"os"
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/internal/docgen"
)

var update = flag.Bool("update", false, "write docs/configuration.md")

// Guards against a reference that differs from the types, and against doc comments that differ from the struct tags.
func TestConfigurationPageIsCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	const name = "../../docs/configuration.md"
	page, err := docgen.Page("../..")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if *update {
		g.Expect(os.WriteFile(name, page, 0o644)).To(gomega.Succeed())
	}
	committed, err := os.ReadFile(name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(committed)).To(gomega.Equal(string(page)), "run: go test ./internal/docgen -update")
}
