package workload

import (
	"math/rand/v2"
	"time"
)

// Sharing says how far prompts begin alike. Prompts of two organisations never do.
type Sharing struct {
	// Systems is how many system prompts an organisation has; the first is used
	// for most requests.
	Systems int
	// Continued is the share of short prompts that go on with a conversation,
	// where one of the organisation fits.
	Continued float64
	// Reviewed is the share of the other prompts that begin with a folder that
	// was sent before, where one fits.
	Reviewed float64
	// Pause is the least time between two prompts of a conversation.
	Pause time.Duration
	// Active is the longest time between two of them.
	Active time.Duration
	// Stays keeps the prompts of a conversation or folder in one data centre, as
	// a balancer that knows its callers does. Without it each goes to any node.
	Stays bool
}

// UsualSharing is what the measurements assume.
func UsualSharing() *Sharing {
	return &Sharing{Systems: 3, Continued: 0.6, Reviewed: 0.4, Pause: 5 * time.Second, Active: time.Minute}
}

const (
	// The bounds of the system prompts, in tokens.
	minSystemTokens = 200
	maxSystemTokens = 2_000
	// firstSystemShare is the share of requests with the first system prompt.
	firstSystemShare = 0.7
	// minOwnTokens is the least that a prompt adds to what it shares.
	minOwnTokens = 50
	// A prompt goes on with what is at least a leastShared-th part of it.
	leastShared = 3
	// folderPercent is the part of a new long prompt that may be sent again.
	folderPercent = 90
	// kept bounds the conversations and the folders of an organisation.
	kept = 2048
)

// Segment is a part of a prompt that a later one may share.
type Segment struct {
	// Hash names the prompt up to the segment's end.
	Hash uint64
	// Tokens is the length of the prompt up to there.
	Tokens int
	// System is true for the system prompt.
	System bool
}

// sharer gives the requests of one run their segments.
type sharer struct {
	sharing *Sharing
	// nodes and dataCentres count them; node i is in data centre i modulo
	// dataCentres.
	nodes, dataCentres int
	random             *rand.Rand
	organisations      map[int]*sharing
}

// sharing is what one organisation sent before.
type sharing struct {
	systems                []Segment
	conversations, folders []*sent
}

// sent is a prompt, or the part of it that is sent again.
type sent struct {
	segments []Segment
	at       time.Duration
	node     int
}

func (s *sent) tokens() int {
	return s.segments[len(s.segments)-1].Tokens
}

// share gives each prompt its segments. Lengths and times stay as they are.
func share(requests []*Request, config Config) {
	s := &sharer{
		sharing:       config.Sharing,
		nodes:         config.Nodes,
		dataCentres:   max(1, config.DataCentres),
		random:        rand.New(rand.NewPCG(config.Seed, 4)),
		organisations: map[int]*sharing{},
	}
	for _, request := range requests {
		if !request.Call {
			s.share(request)
		}
	}
}

func (s *sharer) share(request *Request) {
	own := s.organisation(request.Organisation)
	if request.IsShort() {
		s.converse(own, request)
	} else {
		s.review(own, request)
	}
}

func (s *sharer) organisation(number int) *sharing {
	if s.organisations[number] == nil {
		made := &sharing{}
		for range s.sharing.Systems {
			tokens := int(logUniform(s.random, minSystemTokens, maxSystemTokens))
			made.systems = append(made.systems, Segment{Hash: s.random.Uint64(), Tokens: tokens, System: true})
		}
		s.organisations[number] = made
	}
	return s.organisations[number]
}

// converse goes on with a conversation or begins one.
func (s *sharer) converse(own *sharing, request *Request) {
	if s.random.Float64() < s.sharing.Continued {
		if earlier := s.fitting(own.conversations, request); earlier != nil {
			earlier.segments = s.add(earlier.segments, request.PromptTokens)
			request.Segments = earlier.segments
			s.follow(earlier, request)
			return
		}
	}
	request.Segments = s.add(s.begin(own, request), request.PromptTokens)
	own.conversations = keep(own.conversations, &sent{request.Segments, request.At, request.Node})
}

// review begins with a folder that was sent before or with a new one.
func (s *sharer) review(own *sharing, request *Request) {
	if s.random.Float64() < s.sharing.Reviewed {
		if earlier := s.fitting(own.folders, request); earlier != nil {
			request.Segments = s.add(earlier.segments, request.PromptTokens)
			s.follow(earlier, request)
			return
		}
	}
	folder := s.add(s.begin(own, request), request.PromptTokens*folderPercent/100)
	own.folders = keep(own.folders, &sent{folder, request.At, request.Node})
	request.Segments = s.add(folder, request.PromptTokens)
}

// begin returns the system prompt, when there is room for one.
func (s *sharer) begin(own *sharing, request *Request) []Segment {
	chosen := 0
	if s.random.Float64() >= firstSystemShare {
		chosen = s.random.IntN(len(own.systems))
	}
	system := own.systems[chosen]
	if system.Tokens+minOwnTokens > request.PromptTokens {
		return nil
	}
	return []Segment{system}
}

// add returns the segments with one that reaches to a length.
func (s *sharer) add(segments []Segment, tokens int) []Segment {
	longer := make([]Segment, len(segments), len(segments)+1)
	copy(longer, segments)
	return append(longer, Segment{Hash: s.random.Uint64(), Tokens: tokens})
}

// follow notes that the request goes on with an earlier prompt.
func (s *sharer) follow(earlier *sent, request *Request) {
	earlier.at = request.At
	if !s.sharing.Stays {
		return
	}
	dataCentre := earlier.node % s.dataCentres
	own := (s.nodes - dataCentre + s.dataCentres - 1) / s.dataCentres
	request.Node = dataCentre + s.random.IntN(own)*s.dataCentres
}

// fitting returns an earlier prompt that the request can go on with: any, as
// callers know nothing of each other.
func (s *sharer) fitting(earlier []*sent, request *Request) *sent {
	start := s.random.IntN(len(earlier) + 1)
	for i := range earlier {
		one := earlier[(start+i)%len(earlier)]
		tokens := one.tokens()
		fits := tokens+minOwnTokens <= request.PromptTokens && tokens >= request.PromptTokens/leastShared
		since := request.At - one.at
		if fits && since >= s.sharing.Pause && since <= s.sharing.Active {
			return one
		}
	}
	return nil
}

// keep adds a prompt and drops the oldest when there are many.
func keep(all []*sent, added *sent) []*sent {
	if len(all) >= kept {
		all = all[1:]
	}
	return append(all, added)
}

// Reusable is the share of all prompt tokens that an earlier prompt began with:
// what caches without a bound would spare.
func Reusable(requests []*Request) float64 {
	seen := map[uint64]bool{}
	total, known := 0, 0
	for _, request := range requests {
		total += request.PromptTokens
		longest := 0
		for _, segment := range request.Segments {
			if seen[segment.Hash] {
				longest = segment.Tokens
			}
			seen[segment.Hash] = true
		}
		known += longest
	}
	return float64(known) / float64(max(1, total))
}
