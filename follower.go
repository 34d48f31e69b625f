package wigeontiller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	fetchTick     = 100 * time.Millisecond
	pollTick      = 300 * time.Millisecond
	followTimeout = 2 * time.Second
)

// heldDocument is a document in force, as read and as stored.
type heldDocument struct {
	parsed *environment.Document
	data   []byte
}

// follower brings each newer site into force at this node. The mutex guards
// documents and the order in which sites are adopted; spreadMutex guards spread
// and is a leaf.
type follower struct {
	store       *configuration.Store
	peers       *peer.ConfigurationClient
	dispatcher  *dispatch.Dispatcher
	logger      zerolog.Logger
	reachable   atomic.Bool
	view        func() configuration.SpreadView
	announce    func(version uint64)
	spreadMutex sync.Mutex
	spread      *configuration.Spread
	mutex       sync.Mutex
	documents   map[string]heldDocument
}

func newFollower(store *configuration.Store, peers *peer.ConfigurationClient, dispatcher *dispatch.Dispatcher, logger zerolog.Logger) *follower {
	return &follower{
		store:      store,
		peers:      peers,
		dispatcher: dispatcher,
		logger:     logger,
		spread:     configuration.NewSpread(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		documents:  map[string]heldDocument{},
	}
}

// run reads the store and asks peers side by side, so that a slow store does
// not hold up what a peer has.
func (f *follower) run(ctx context.Context) {
	var workers conc.WaitGroup
	workers.Go(func() { every(ctx, pollTick, f.pollIfDue) })
	workers.Go(func() { every(ctx, fetchTick, f.fetchIfDue) })
	workers.Wait()
}

// every calls step now and at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	periodic.RunNow(ctx, interval, func() { step(ctx) })
}

// offer notes that a peer has a version in force.
func (f *follower) offer(from netip.AddrPort, version uint64) {
	site, ok := f.Site()
	if ok && version <= site.Version {
		return
	}
	f.spreadMutex.Lock()
	defer f.spreadMutex.Unlock()
	f.spread.Offer(from, version)
}

func (f *follower) currentView() configuration.SpreadView {
	view := f.view()
	site, ok := f.Site()
	view.HasSite = ok
	view.Version = site.Version
	return view
}

func (f *follower) pollIfDue(ctx context.Context) {
	view := f.currentView()
	f.spreadMutex.Lock()
	due := f.spread.NextPoll(time.Now(), view)
	f.spreadMutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	asked := time.Now()
	site, err := f.store.Site(ctx)
	f.reachable.Store(err == nil)
	if err != nil {
		f.logger.Warn().Err(err).Msg("site not read")
		return
	}
	f.dispatcher.SetContact(asked)
	f.adopt(ctx, site)
}

func (f *follower) fetchIfDue(ctx context.Context) {
	view := f.currentView()
	f.spreadMutex.Lock()
	from, due := f.spread.NextFetch(time.Now(), view)
	f.spreadMutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	site, err := f.peers.Site(ctx, from, view.Version)
	if err == nil && f.adoptFrom(ctx, site, from) {
		return
	}
	f.logger.Debug().Err(err).Stringer("peer", from).Msg("site not fetched")
	f.spreadMutex.Lock()
	defer f.spreadMutex.Unlock()
	f.spread.FetchFailed(from)
}

// adopt brings a site into force unless an equal or newer one already is.
func (f *follower) adopt(ctx context.Context, site configuration.Site) {
	f.adoptFrom(ctx, site, netip.AddrPort{})
}

// adoptFrom takes the documents from a peer, if valid, before the store. It
// reports whether this or a newer site is in force.
func (f *follower) adoptFrom(ctx context.Context, site configuration.Site, from netip.AddrPort) bool {
	if current, ok := f.Site(); ok && !site.Newer(current) {
		return true
	}
	documents, err := f.fetch(ctx, site, from)
	if err != nil {
		f.logger.Warn().Err(err).Uint64("version", site.Version).Msg("site not adopted")
		return false
	}
	f.bringIntoForce(site, documents)
	f.spreadMutex.Lock()
	f.spread.Adopted()
	f.spreadMutex.Unlock()
	current, _ := f.Site()
	f.announce(current.Version)
	return true
}

func (f *follower) bringIntoForce(site configuration.Site, documents map[string]heldDocument) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// Another loop may have been faster while the documents were fetched.
	if current, ok := f.Site(); ok && !site.Newer(current) {
		return
	}
	f.documents = documents
	parsed := map[string]*environment.Document{}
	for digest, held := range documents {
		parsed[digest] = held.parsed
	}
	f.dispatcher.Configure(tables.Build(site, parsed))
	f.logger.Info().Uint64("version", site.Version).Msg("site in force")
}

func (f *follower) fetch(ctx context.Context, site configuration.Site, from netip.AddrPort) (map[string]heldDocument, error) {
	documents := map[string]heldDocument{}
	for _, digest := range site.Digests() {
		if known, ok := f.document(digest); ok {
			documents[digest] = known
			continue
		}
		data, err := f.fetchDocument(ctx, digest, from)
		if err != nil {
			return nil, err
		}
		document, err := environment.Parse(data)
		if err != nil {
			return nil, err
		}
		documents[digest] = heldDocument{parsed: document, data: data}
	}
	return documents, nil
}

func (f *follower) fetchDocument(ctx context.Context, digest string, from netip.AddrPort) ([]byte, error) {
	if from.IsValid() {
		data, err := f.peers.Document(ctx, from, digest)
		if err == nil {
			return data, nil
		}
	}
	return f.store.Document(ctx, digest)
}

func (f *follower) document(digest string) (heldDocument, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held, ok := f.documents[digest]
	return held, ok
}

// Site returns the site in force, or false when there is none.
func (f *follower) Site() (configuration.Site, bool) {
	current := f.dispatcher.Tables()
	if current == nil {
		return configuration.Site{}, false
	}
	return current.Site, true
}

// Document returns the bytes of a document in force.
func (f *follower) Document(digest string) ([]byte, bool) {
	held, ok := f.document(digest)
	return held.data, ok
}
