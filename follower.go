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
	fetchInterval = 100 * time.Millisecond
	pollInterval  = 300 * time.Millisecond
	followTimeout = 2 * time.Second
)

// documentInForce is a document in force, parsed and as stored.
type documentInForce struct {
	parsed *environment.Document
	data   []byte
}

// follower puts each newer site in force at this node. mutex guards documents and
// the order in which sites are put in force; spreadMutex guards spread and is a leaf.
type follower struct {
	store          *configuration.Store
	peers          *peer.ConfigurationClient
	dispatcher     *dispatch.Dispatcher
	logger         zerolog.Logger
	storeReachable atomic.Bool
	spreadView     func() configuration.RefreshState
	announce       func(version uint64)
	spreadMutex    sync.Mutex
	spread         *configuration.RefreshPolicy
	mutex          sync.Mutex
	documents      map[string]documentInForce
}

func newFollower(store *configuration.Store, peers *peer.ConfigurationClient, dispatcher *dispatch.Dispatcher, logger zerolog.Logger) *follower {
	return &follower{
		store:      store,
		peers:      peers,
		dispatcher: dispatcher,
		logger:     logger,
		spread:     configuration.NewRefreshPolicy(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		documents:  map[string]documentInForce{},
	}
}

// run polls the store and fetches from peers concurrently, so that a slow store does
// not delay a site that a peer has.
func (f *follower) run(ctx context.Context) {
	var workers conc.WaitGroup
	workers.Go(func() { runEvery(ctx, pollInterval, f.pollIfDue) })
	workers.Go(func() { runEvery(ctx, fetchInterval, f.fetchIfDue) })
	workers.Wait()
}

// runEvery calls step now and at each interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	periodic.RunNow(ctx, interval, func() { step(ctx) })
}

// offer records that a peer has a version in force.
func (f *follower) offer(from netip.AddrPort, version uint64) {
	site, ok := f.Site()
	if ok && version <= site.Version {
		return
	}
	f.spreadMutex.Lock()
	defer f.spreadMutex.Unlock()
	f.spread.RecordPeerVersion(from, version)
}

func (f *follower) currentView() configuration.RefreshState {
	view := f.spreadView()
	site, ok := f.Site()
	view.HasSite = ok
	view.Version = site.Version
	return view
}

func (f *follower) pollIfDue(ctx context.Context) {
	view := f.currentView()
	f.spreadMutex.Lock()
	due := f.spread.ShouldPoll(time.Now(), view)
	f.spreadMutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	polledAt := time.Now()
	site, err := f.store.Site(ctx)
	f.storeReachable.Store(err == nil)
	if err != nil {
		f.logger.Warn().Err(err).Msg("reading the site from the store failed; the site in force, if any, is kept")
		return
	}
	f.dispatcher.SetLastContact(polledAt)
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
	f.logger.Debug().Err(err).Stringer("peer", from).Msg("no newer site could be fetched from the peer; another peer or the store is tried next")
	f.spreadMutex.Lock()
	defer f.spreadMutex.Unlock()
	f.spread.FetchFailed(from)
}

// adopt puts a site in force unless an equal or newer one already is. Documents come
// from the store.
func (f *follower) adopt(ctx context.Context, site configuration.Site) {
	f.adoptFrom(ctx, site, netip.AddrPort{})
}

// adoptFrom puts a site in force like adopt. Documents are fetched from the peer, if
// its address is valid, before the store. It reports whether this or a newer site is
// in force.
func (f *follower) adoptFrom(ctx context.Context, site configuration.Site, from netip.AddrPort) bool {
	if current, ok := f.Site(); ok && !site.NewerThan(current) {
		return true
	}
	documents, err := f.fetchDocuments(ctx, site, from)
	if err != nil {
		f.logger.Warn().Err(err).Uint64("version", site.Version).Msg("documents of a newer site could not be loaded; the site in force, if any, is kept")
		return false
	}
	f.putInForce(site, documents)
	f.spreadMutex.Lock()
	f.spread.Adopted()
	f.spreadMutex.Unlock()
	current, _ := f.Site()
	f.announce(current.Version)
	return true
}

func (f *follower) putInForce(site configuration.Site, documents map[string]documentInForce) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// Another goroutine may have put a newer site in force while the documents were
	// fetched.
	if current, ok := f.Site(); ok && !site.NewerThan(current) {
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

func (f *follower) fetchDocuments(ctx context.Context, site configuration.Site, from netip.AddrPort) (map[string]documentInForce, error) {
	documents := map[string]documentInForce{}
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
		documents[digest] = documentInForce{parsed: document, data: data}
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

func (f *follower) document(digest string) (documentInForce, bool) {
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

// Document returns the bytes of a document in force, or false.
func (f *follower) Document(digest string) ([]byte, bool) {
	held, ok := f.document(digest)
	return held.data, ok
}
