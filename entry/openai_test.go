package entry_test

import (
	"testing"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	standin "rhubarbpoint/internal/standin/engine"
)

// Guards against responses that the OpenAI client library cannot read: completions, streams, model lists and errors.
func TestOpenAIClient(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		client := openai.NewClient(option.WithBaseURL("http://"+entryAddr+"/v1"), option.WithAPIKey(key),
			option.WithHTTPClient(f.client), option.WithMaxRetries(0))
		ctx := f.context()
		params := openai.ChatCompletionNewParams{
			Model: "small", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
			MaxCompletionTokens: openai.Int(6), Temperature: openai.Float(0.5),
		}
		whole, err := client.Chat.Completions.New(ctx, params)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(whole.Choices[0].Message.Content).To(gomega.Equal(expectedCompletion("hello", 6)))
		f.Expect(whole.Choices[0].FinishReason).To(gomega.Equal("length"))
		f.Expect(whole.Usage.CompletionTokens).To(gomega.Equal(int64(6)))

		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		var sum openai.ChatCompletionAccumulator
		for stream.Next() {
			f.Expect(sum.AddChunk(stream.Current())).To(gomega.BeTrue())
		}
		f.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
		f.Expect(sum.Choices[0].Message.Content).To(gomega.Equal(expectedCompletion("hello", 6)))
		f.Expect(sum.Usage.CompletionTokens).To(gomega.Equal(int64(6)))

		models, err := client.Models.List(ctx)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(models.Data[0].ID).To(gomega.Equal("small"))

		params.Model = "unknown"
		_, err = client.Chat.Completions.New(ctx, params)
		var apiError *openai.Error
		f.Expect(err).To(gomega.BeAssignableToTypeOf(apiError))
		f.Expect(err.(*openai.Error).Code).To(gomega.Equal("unknown_model"))

		params.Model = "small"
		f.engine("e1").SetFaults(standin.Faults{Frame: standin.FaultBroken, FrameAt: 3, Streams: 100})
		stream = client.Chat.Completions.NewStreaming(ctx, params)
		for stream.Next() {
		}
		f.Expect(stream.Err()).To(gomega.MatchError(gomega.ContainSubstring("retries_exhausted")))
		f.Expect(stream.Close()).To(gomega.Succeed())
	})
}
