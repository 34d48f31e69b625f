package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"

	"github.com/wigeontiller/wigeontiller/apierror"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	headerRequestID      = "X-Request-ID"
	headerTimeout        = "X-Request-Timeout"
	headerPriority       = "X-Request-Priority"
	headerIdempotencyKey = "Idempotency-Key"
	bearerPrefix         = "Bearer "
	// bytesPerToken is used to estimate the number of tokens of a prompt from its size.
	bytesPerToken = 4
	// serviceTokens is the prompt length that a call to a plain service is scheduled with.
	serviceTokens     = 1
	maxRequestIDBytes = 128
	localRequestID    = "request_id"
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

// requestID returns the request ID that the caller sent, or a new one if it sent
// none or one that is too long.
func requestID(c *fiber.Ctx) string {
	if id, ok := c.Locals(localRequestID).(string); ok {
		return id
	}
	id := strings.Clone(c.Get(headerRequestID))
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	c.Locals(localRequestID, id)
	c.Set(headerRequestID, id)
	return id
}

// authenticate returns the caller that the bearer key belongs to.
func (s *Server) authenticate(c *fiber.Ctx) (tables.Caller, *apierror.Error) {
	current := s.config.Dispatcher.Tables()
	if current == nil || s.draining.Load() {
		failure := apierror.New(fiber.StatusServiceUnavailable, apierror.NotReady, "the node is not ready")
		failure.RetryAfter = time.Second
		return tables.Caller{}, failure
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok {
		return tables.Caller{}, apierror.New(fiber.StatusUnauthorized, apierror.Unauthorized, "a bearer key is required")
	}
	caller, ok := current.Caller(key)
	if !ok {
		return tables.Caller{}, apierror.New(fiber.StatusUnauthorized, apierror.Unauthorized, "the key is not known")
	}
	return caller, nil
}

// newRequest sets the fields that completions and service calls have in common.
func newRequest(c *fiber.Ctx, caller tables.Caller, promptTokens int) (*scheduling.Request, *apierror.Error) {
	now := time.Now()
	priority, failure := requestPriority(c, caller.Organisation)
	if failure != nil {
		return nil, failure
	}
	timeout, failure := requestTimeout(c, caller.Plan, promptTokens)
	if failure != nil {
		return nil, failure
	}
	return &scheduling.Request{
		ID:           uuid.NewString(),
		Plan:         caller.Plan,
		Organisation: caller.Organisation,
		PromptTokens: promptTokens,
		Priority:     priority,
		Arrived:      now,
		Deadline:     now.Add(timeout),
	}, nil
}

func requestPriority(c *fiber.Ctx, organisation *environment.Organisation) (environment.Priority, *apierror.Error) {
	highest, err := environment.ParsePriority(organisation.MaxPriority)
	if err != nil {
		return 0, apierror.New(fiber.StatusInternalServerError, apierror.Internal, "internal error")
	}
	value := c.Get(headerPriority)
	if value == "" {
		return min(environment.Normal, highest), nil
	}
	requested, err := environment.ParsePriority(value)
	if err != nil {
		return 0, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, headerPriority+" must be urgent, normal or batch")
	}
	if requested > highest {
		return 0, apierror.New(fiber.StatusForbidden, apierror.Forbidden, "the organisation may not use this priority")
	}
	return requested, nil
}

func requestTimeout(c *fiber.Ctx, plan *tables.Plan, promptTokens int) (time.Duration, *apierror.Error) {
	classDeadline, ok := plan.Deadline(promptTokens)
	if !ok {
		return 0, apierror.New(fiber.StatusRequestEntityTooLarge, apierror.BodyTooLarge, "the prompt is longer than any length class")
	}
	value := c.Get(headerTimeout)
	if value == "" {
		return classDeadline, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) || seconds > (24*time.Hour).Seconds() {
		return 0, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, headerTimeout+" must be a number of seconds above 0 and at most 86400")
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parsedPrompt holds the fields of a completion body that the entry node uses.
type parsedPrompt struct {
	model     string
	stream    bool
	maxTokens int
	// promptJSON is the raw JSON of the messages or of the prompt.
	promptJSON string
}

// parsePrompt parses a completion body without copying it.
func parsePrompt(body []byte, defaultMaxTokens int) (parsedPrompt, *apierror.Error) {
	if !gjson.ValidBytes(body) {
		return parsedPrompt{}, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "the body is not valid JSON")
	}
	fields := gjson.GetManyBytes(body, "model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt")
	parsed := parsedPrompt{
		model:      strings.Clone(fields[0].String()),
		stream:     fields[1].Bool(),
		maxTokens:  defaultMaxTokens,
		promptJSON: fields[4].Raw,
	}
	if len(fields[5].Raw) > len(parsed.promptJSON) {
		parsed.promptJSON = fields[5].Raw
	}
	for _, field := range fields[2:4] {
		if field.Exists() {
			parsed.maxTokens = int(field.Int())
		}
	}
	if parsed.model == "" {
		return parsedPrompt{}, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "model is required")
	}
	if parsed.promptJSON == "" {
		return parsedPrompt{}, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "messages or prompt is required")
	}
	if parsed.maxTokens <= 0 || parsed.maxTokens > maxBodyBytes {
		return parsedPrompt{}, apierror.New(fiber.StatusBadRequest, apierror.BadRequest, "max_tokens is out of range")
	}
	return parsed, nil
}

// estimatedTokens returns the estimated length of the prompt in tokens.
func (p parsedPrompt) estimatedTokens() int {
	return max(1, len(p.promptJSON)/bytesPerToken)
}
