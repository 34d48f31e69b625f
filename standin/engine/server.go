package engine

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/tidwall/gjson"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	bytesPerToken    = 4
	defaultMaxTokens = 512
	maxBodyBytes     = 64 << 20
	breakAfterTokens = 3
	coldSlots        = 1
)

// Server serves one engine's HTTP API.
type Server struct {
	engine  *Engine
	control *fault.Control
	app     *fiber.App
}

// NewServer returns a server for a new engine with the given faults.
func NewServer(config Config, control *fault.Control) *Server {
	server := &Server{engine: New(config), control: control}
	server.app = fiber.New(fiber.Config{BodyLimit: maxBodyBytes, DisableStartupMessage: true, Immutable: true})
	server.app.Use(fault.EchoAttempt)
	control.OnSet(server.applyOneShotKnobs)
	control.Routes(server.app)
	server.app.Post("/v1/chat/completions", server.complete)
	server.app.Post("/v1/completions", server.complete)
	server.reserveRoutes()
	server.app.Get("/v1/load", server.load)
	server.app.Post("/v1/orders", server.order)
	server.app.Get("/v1/streams", server.listStreams)
	server.app.Get("/v1/streams/:id", server.streamStatus)
	server.app.Get("/v1/streams/:id/events", server.events)
	server.app.Delete("/v1/streams/:id", server.cancel)
	return server
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	return s.app
}

// Engine returns the engine that is served.
func (s *Server) Engine() *Engine {
	return s.engine
}

// Mark returns the text that every token of a request's answer contains, so that a
// test can tell to which request an answer belongs.
func Mark(body []byte) string {
	hash := fnv.New32a()
	_, _ = hash.Write(body)
	return fmt.Sprintf("%08x", hash.Sum32())
}

func (s *Server) complete(c *fiber.Ctx) error {
	body := c.Body()
	fields := gjson.GetManyBytes(body, "model", "stream", "max_tokens", "messages", "prompt")
	promptTokens := max(1, max(len(fields[3].Raw), len(fields[4].Raw))/bytesPerToken)
	if !s.engine.canServe(fields[0].String()) {
		c.Set(upstream.HeaderNotRun, "true")
		return c.SendStatus(fiber.StatusNotFound)
	}
	answerTokens := int(fields[2].Int())
	if answerTokens <= 0 {
		answerTokens = defaultMaxTokens
	}
	admitted := s.admit(c, promptTokens, answerTokens)
	if admitted == nil {
		c.Set(upstream.HeaderNotRun, "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	text := fields[3].Raw
	if len(fields[4].Raw) > len(text) {
		text = fields[4].Raw
	}
	admitted.prefixBlocks = blockHashes(c.Get(upstream.HeaderCacheSalt), fields[0].String(), text)
	answer := answerWriter{model: fields[0].String(), mark: Mark(body), id: admitted.id, chat: strings.Contains(c.Path(), "chat")}
	if fields[1].Bool() {
		admitted.formKey = answer.mark
		s.serveStream(c, admitted, answer)
		return nil
	}
	return s.serveUnstreamed(c, admitted, answer)
}

func (s *Server) serveUnstreamed(c *fiber.Ctx, admitted *stream, answer answerWriter) error {
	defer s.release(admitted)
	var text strings.Builder
	if s.engine.runPrefill(admitted) {
		for s.engine.decodeToken(admitted) {
			text.WriteString(answer.token(admitted.producedTokens))
		}
	}
	if s.engine.isCanceled(admitted) {
		return c.Context().Conn().Close()
	}
	return c.JSON(answer.unstreamed(text.String(), admitted))
}

func (s *Server) streamStatus(c *fiber.Ctx) error {
	for _, id := range s.engine.streamIDs() {
		if id == c.Params("id") {
			return c.SendStatus(fiber.StatusOK)
		}
	}
	return c.SendStatus(fiber.StatusNotFound)
}

func (s *Server) cancel(c *fiber.Ctx) error {
	if s.control.Take(func(k *fault.Knobs) *int { return &k.LoseCancels }) {
		return c.SendStatus(fiber.StatusOK)
	}
	if !s.engine.cancel(c.Params("id")) {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.SendStatus(fiber.StatusOK)
}

// answerWriter builds an answer's chunks in the published format.
type answerWriter struct {
	model, mark, id string
	chat            bool
}

func (a answerWriter) token(number int) string {
	return fmt.Sprintf("%s-%d ", a.mark, number)
}

type delta struct {
	Content string `json:"content,omitempty"`
	Role    string `json:"role,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a answerWriter) object(suffix string) string {
	if a.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func (a answerWriter) completion(object string, choices ...choice) completion {
	return completion{ID: a.id, Object: object, Created: time.Now().Unix(), Model: a.model, Choices: choices}
}

func (a answerWriter) chunk(number int, finish string) completion {
	part := choice{}
	text := ""
	if number > 0 {
		text = a.token(number)
	}
	if finish != "" {
		part.FinishReason = &finish
	}
	if a.chat {
		part.Delta = &delta{Content: text}
	} else {
		part.Text = &text
	}
	return a.completion(a.object(".chunk"), part)
}

func (a answerWriter) usage(s *stream) completion {
	part := a.completion(a.object(".chunk"))
	part.Choices = []choice{}
	part.Usage = usageOf(s)
	return part
}

func (a answerWriter) unstreamed(text string, s *stream) completion {
	finish := "stop"
	part := choice{FinishReason: &finish}
	if a.chat {
		part.Message = &delta{Role: "assistant", Content: text}
	} else {
		part.Text = &text
	}
	answer := a.completion(a.object(""), part)
	answer.Usage = usageOf(s)
	return answer
}

func usageOf(s *stream) *usage {
	return &usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: s.producedTokens,
		TotalTokens:      s.promptTokens + s.producedTokens,
		PromptDetails:    promptDetails{CachedTokens: s.cachedTokens},
	}
}
