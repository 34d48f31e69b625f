package wigeontiller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/tables"
)

const (
	followInterval = time.Second
	followTimeout  = 2 * time.Second
)

// follower brings each newer site into force at this node. The mutex guards
// documents and the order in which sites are adopted.
type follower struct {
	store      *configuration.Store
	dispatcher *dispatch.Dispatcher
	logger     zerolog.Logger
	reachable  atomic.Bool
	mutex      sync.Mutex
	documents  map[string]*environment.Document
}

func newFollower(store *configuration.Store, dispatcher *dispatch.Dispatcher, logger zerolog.Logger) *follower {
	return &follower{
		store:      store,
		dispatcher: dispatcher,
		logger:     logger,
		documents:  map[string]*environment.Document{},
	}
}

func (f *follower) run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *follower) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	site, err := f.store.Site(ctx)
	f.reachable.Store(err == nil)
	if err != nil {
		f.logger.Warn().Err(err).Msg("site not read")
		return
	}
	f.adopt(ctx, site)
}

// adopt brings a site into force unless an equal or newer one already is.
func (f *follower) adopt(ctx context.Context, site configuration.Site) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.dispatcher.Tables()
	if current != nil && !site.Newer(current.Site) {
		return
	}
	documents, err := f.fetch(ctx, site)
	if err != nil {
		f.logger.Warn().Err(err).Uint64("version", site.Version).Msg("site not adopted")
		return
	}
	f.documents = documents
	f.dispatcher.Configure(tables.Build(site, documents))
	f.logger.Info().Uint64("version", site.Version).Msg("site in force")
}

func (f *follower) fetch(ctx context.Context, site configuration.Site) (map[string]*environment.Document, error) {
	documents := map[string]*environment.Document{}
	for _, digest := range site.Digests() {
		if known := f.documents[digest]; known != nil {
			documents[digest] = known
			continue
		}
		data, err := f.store.Document(ctx, digest)
		if err != nil {
			return nil, err
		}
		document, err := environment.Parse(data)
		if err != nil {
			return nil, err
		}
		documents[digest] = document
	}
	return documents, nil
}
