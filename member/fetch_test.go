package member

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/peer/peerpb"
)

// Guards against a starting instance that gets replicas of the past, because what an instance knows changes under one
// version of the routes, and against heartbeats for which a large document is encoded.
func TestAFetchGetsThePresentDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	document, encoded := "first", 0
	s := New(Options{
		ID: "a", Version: func() int64 { return 3 },
		EncodedDocument: func() (int64, []byte) {
			encoded++
			return 3, []byte(document)
		},
	})
	s.ConfigChanged()
	g.Expect(s.own.GetConfigVersion()).To(gomega.BeEquivalentTo(3))
	g.Expect(encoded).To(gomega.BeZero())
	for _, document = range []string{"first", "second"} {
		answer, err := s.handleFetch(context.Background(), "", &peerpb.Request{Call: &peerpb.Request_FetchConfig{
			FetchConfig: &peerpb.FetchConfig{HaveVersion: 1, AcceptGzip: true},
		}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := unpack(answer.GetConfig())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal(document))
	}
}
