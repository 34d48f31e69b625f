// Package local serves stand-ins on loopback within one process and puts an
// environment document in force there. The demo and the soak runs share it.
package local

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/configuration"
)

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// ErrNotInForce is returned if a version is not in force at every node in time.
var ErrNotInForce = eris.New("the version did not come into force")

// Serve listens at the address, starts to serve the application and returns. The
// application is served until it is shut down.
func Serve(address string, app *fiber.App) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	go func() { _ = app.Listener(listener) }()
	return nil
}

// PutInForce tries and promotes a document and returns the new site version.
func PutInForce(ctx context.Context, store *configuration.Store, environment string, document []byte) (uint64, error) {
	digest, err := store.PutDocument(ctx, document)
	if err != nil {
		return 0, err
	}
	try := configuration.Command{ID: environment + "-try", Kind: configuration.Try, Target: environment, Digest: digest}
	_, tried, err := store.Execute(ctx, try)
	if err != nil {
		return 0, err
	}
	promote := configuration.Command{ID: environment + "-promote", Kind: configuration.Promote, Target: environment, Digest: digest, Replaces: tried.Version}
	_, promoted, err := store.Execute(ctx, promote)
	return promoted.Version, err
}

// Wait returns nil as soon as the version is in force at every node. It returns
// ErrNotInForce after readyTimeout or if the context ends.
func Wait(ctx context.Context, version uint64, nodes ...*wigeontiller.Node) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range nodes {
		for node.Status(ctx).Version < version {
			select {
			case <-ctx.Done():
				return ErrNotInForce
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}
