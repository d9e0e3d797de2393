package platform_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/config/manager"
	"rhubarbpoint/internal/standin/platform"
	wire "rhubarbpoint/platform"
)

// inForceWithin is the time within which a configuration change must be in force, from section 1.3 of the design.
const inForceWithin = 13 * time.Second

// Guards against an instance whose watch hangs on a connection that stopped carrying data: a later edit must still be
// in force there within the target time. Uses real connections.
func TestWatchSurvivesSilentConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	silent := platform.NewListener(l)
	server := &http.Server{Handler: platform.New(platform.Options{}).HandlerWithSilence(silent)}
	go server.Serve(silent)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	watcher := manager.New(manager.Options{
		Store: wire.New(l.Addr().String(), nil), ShouldWatch: func() bool { return true },
	})
	done := make(chan struct{})
	go func() { watcher.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	editor := manager.New(manager.Options{Store: wire.New(l.Addr().String(), nil)})
	_, err = editor.Edit(ctx, manager.Edit{Section: "callers", Content: []byte(`{}`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(watcher.Version, inForceWithin).Should(gomega.BeEquivalentTo(1))
	g.Expect(silent.Silence()).To(gomega.BeNumerically(">", 0))
	_, err = editor.Edit(ctx, manager.Edit{Section: "callers", Base: 1, Content: []byte(`{"allow_unknown":true}`)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(watcher.Version, inForceWithin).Should(gomega.BeEquivalentTo(2))
}
