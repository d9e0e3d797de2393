package engine_test

import (
	"testing"

	"github.com/onsi/gomega"

	"rhubarbpoint/engine"
	standin "rhubarbpoint/internal/standin/engine"
)

// Guards against equal outputs for different requests, which would hide mixed-up responses in other tests.
func TestOutputsDifferByMessageAndVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	first := &engine.Request{Model: "m", Version: "1", MaxTokens: 8, Messages: []engine.Message{{Role: "user", Content: "a"}}}
	second := *first
	second.Messages = []engine.Message{{Role: "user", Content: "b"}}
	third := *first
	third.Version = "2"
	g.Expect(standin.Output(first)).To(gomega.Equal(standin.Output(first)))
	g.Expect(standin.Output(first)).NotTo(gomega.Equal(standin.Output(&second)))
	g.Expect(standin.Output(first)).NotTo(gomega.Equal(standin.Output(&third)))
}
