package fleet_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rhubarbpoint/config"
	"rhubarbpoint/engine"
	"rhubarbpoint/engine/httpengine"
	"rhubarbpoint/internal/demo"
	"rhubarbpoint/internal/fleet"
	"rhubarbpoint/operator/client"
)

const newVersion = "2026-12"

// changeVersion edits the models section as an operator does to change the version of a model.
func changeVersion(g *gomega.WithT, n *fleet.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := client.New(n.Operator)
	now, err := c.Config(ctx, false)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var doc config.Document
	g.Expect(json.Unmarshal(now.Document, &doc)).To(gomega.Succeed())
	doc.Models.Models[0].PreviousVersion = doc.Models.Models[0].Version
	doc.Models.Models[0].Version = newVersion
	section, err := json.Marshal(doc.Models)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = c.Apply(ctx, client.Edit{Section: "models", Base: now.Version, Content: section})
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against requests that are refused, cut off or mixed up while the engines load a new version one after another.
func TestVersionChange(t *testing.T) {
	t.Parallel()
	g, f := start(t, "-change-time", "1s")
	changeVersion(g, f.Entries[0])
	var stop atomic.Bool
	failures := make(chan string, 1000)
	finished := make(chan int)
	go func() {
		sent := 0
		for ; !stop.Load(); sent++ {
			if failure := chatOnce(f.Entries[sent%3], sent); failure != "" {
				failures <- failure
			}
		}
		finished <- sent
	}()
	for _, n := range f.Engines {
		g.Eventually(func() (bool, error) {
			state, err := httpengine.New().State(context.Background(), n.Address)
			want := engine.LoadedModel{Name: fleet.ModelName, Version: newVersion}
			return err == nil && slices.Contains(state.Models, want), nil
		}, waitTimeout, time.Second).Should(gomega.BeTrue(), n.ID)
	}
	stop.Store(true)
	g.Expect(<-finished).To(gomega.BeNumerically(">", 10))
	close(failures)
	for failure := range failures {
		t.Error(failure)
	}
}

// chatOnce sends a short request and returns what is wrong with its response, or "". The output may be of either
// version.
func chatOnce(n *fleet.Node, number int) string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	chat := demo.Chat{MaxTokens: 20, Messages: []engine.Message{{Role: "user", Content: time.Duration(number).String()}}}
	text, complete, status, err := chat.Send(ctx, http.DefaultClient, n.Address)
	switch {
	case err != nil:
		return err.Error()
	case status != http.StatusOK:
		return http.StatusText(status)
	case !complete:
		return "response cut off"
	case text != chat.Want() && text != chat.WantForVersion(newVersion):
		return "output of neither version"
	}
	return ""
}
