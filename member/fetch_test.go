package member

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/peer/peerpb"
)

// Guards against two faults: a starting instance gets an outdated set of replicas, because the replicas change while
// the version of the routes stays the same; and a change of the version encodes the whole document, which can be large.
func TestFetchReturnsCurrentDocument(t *testing.T) {
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
	g.Expect(s.ownRecord.GetConfigVersion()).To(gomega.BeEquivalentTo(3))
	g.Expect(encoded).To(gomega.BeZero())
	for _, document = range []string{"first", "second"} {
		resp, err := s.handleFetch(context.Background(), "", &peerpb.Request{Call: &peerpb.Request_FetchConfig{
			FetchConfig: &peerpb.FetchConfig{HaveVersion: 1, AcceptGzip: true},
		}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := decompress(resp.GetConfig())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal(document))
	}
}
