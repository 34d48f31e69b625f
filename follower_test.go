package wigeontiller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// documentKey is the prefix of the keys of documents in the store.
const documentKey = "environments/"

func sample(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("examples/local/environment.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// testFollower returns a follower without a cluster and the versions that it
// announces.
func testFollower(t *testing.T, store *configuration.Store) (*follower, *[]uint64) {
	t.Helper()
	client, err := peer.NewConfigurationClient(peer.NewPool(nil, noop.NewTracerProvider().Tracer("")))
	if err != nil {
		t.Fatal(err)
	}
	scheduler := scheduling.NewSeeded("dc-a", rand.New(rand.NewPCG(1, 1)))
	f := newFollower(store, client, dispatch.New(scheduler), zerolog.Nop())
	announced := new([]uint64)
	f.announce = func(version uint64) { *announced = append(*announced, version) }
	f.spreadView = func() configuration.RefreshState { return configuration.RefreshState{IsPoller: true} }
	return f, announced
}

// tryDocument puts the sample document in trial and returns the site and the
// document's digest.
func tryDocument(t *testing.T, store *configuration.Store) (configuration.Site, string) {
	t.Helper()
	digest, err := store.PutDocument(t.Context(), sample(t))
	if err != nil {
		t.Fatal(err)
	}
	site, _, err := store.Execute(t.Context(), configuration.Command{ID: "one", Kind: configuration.Try, Target: "works", Digest: digest})
	if err != nil {
		t.Fatal(err)
	}
	return site, digest
}

func TestFollowerIgnoresOlderSites(t *testing.T) {
	is := is.New(t)
	f, announced := testFollower(t, configuration.NewStore(memory.New()))
	_, ok := f.Site()
	is.True(!ok) // no site in force at first
	for _, version := range []uint64{3, 2, 3, 5, 4} {
		site := configuration.NewSite()
		site.Version = version
		f.adopt(t.Context(), site)
	}
	current, ok := f.Site()
	is.True(ok)
	is.Equal(current.Version, uint64(5))
	is.Equal(*announced, []uint64{3, 5}) // older versions are not announced
}

func TestFollowerRejectsDocumentWithWrongDigest(t *testing.T) {
	is := is.New(t)
	p := memory.New()
	store := configuration.NewStore(p)
	site, digest := tryDocument(t, store)
	is.NoErr(p.PutObject(t.Context(), documentKey+digest, append(sample(t), "# other\n"...)))
	f, announced := testFollower(t, store)
	f.pollIfDue(t.Context())
	is.True(f.storeReachable.Load())
	_, ok := f.Site()
	is.True(!ok) // nothing in force
	is.Equal(len(*announced), 0)
	is.NoErr(p.PutObject(t.Context(), documentKey+digest, sample(t)))
	f.adopt(t.Context(), site)
	held, ok := f.Document(digest)
	is.True(ok) // from the store
	is.Equal(held, sample(t))
}

func TestFollowerFetchesSiteAndDocumentsFromPeer(t *testing.T) {
	is := is.New(t)
	store := configuration.NewStore(memory.New())
	site, digest := tryDocument(t, store)
	holder, _ := testFollower(t, store)
	holder.adopt(t.Context(), site)
	empty, _ := testFollower(t, configuration.NewStore(memory.New()))
	from := servePeer(t, holder)
	empty.offer(from, site.Version)
	empty.spreadView = func() configuration.RefreshState { return configuration.RefreshState{Peers: []netip.AddrPort{from}} }
	end := time.Now().Add(10 * time.Second)
	for _, ok := empty.Site(); !ok && time.Now().Before(end); _, ok = empty.Site() {
		empty.fetchIfDue(t.Context())
		time.Sleep(10 * time.Millisecond)
	}
	current, ok := empty.Site()
	is.True(ok)
	is.Equal(current.Version, site.Version)
	held, ok := empty.Document(digest) // its own store has no documents
	is.True(ok)
	is.Equal(held, sample(t))
}

func servePeer(t *testing.T, f *follower) netip.AddrPort {
	t.Helper()
	service, err := peer.NewConfigurationService(f)
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(nil, noop.NewTracerProvider().Tracer(""))
	if err := server.Register(service.Register); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return netip.MustParseAddrPort(listener.Addr().String())
}
