package fleet_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
)

// Guards against an instance that SIGHUP ends while it starts. The settings come from a pipe, so that the signal
// arrives while the instance reads them.
func TestSIGHUPDuringStart(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	pipe := filepath.Join(t.TempDir(), "settings")
	g.Expect(syscall.Mkfifo(pipe, 0o600)).To(gomega.Succeed())
	cmd := exec.Command(filepath.Join(bin, "rhubarbpoint"), "serve", "-settings", pipe)
	g.Expect(cmd.Start()).To(gomega.Succeed())
	file, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(cmd.Process.Signal(syscall.SIGHUP)).To(gomega.Succeed())
	_, err = file.WriteString("no settings")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(file.Close()).To(gomega.Succeed())
	var exit *exec.ExitError
	g.Expect(errors.As(cmd.Wait(), &exit)).To(gomega.BeTrue())
	g.Expect(exit.ExitCode()).To(gomega.Equal(2), "the instance must exit because it refuses the settings, not by the signal: %v", exit)
}
