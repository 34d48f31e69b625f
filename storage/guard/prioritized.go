package guard

import (
	"context"

	"github.com/wigeontiller/wigeontiller/storage"
)

// prioritized is a Client used at one priority.
type prioritized struct {
	client *Client
	urgent bool
	// readKind and writeKind are the rate limits of the table's reads and writes.
	readKind  kind
	writeKind kind
}

var _ storage.Platform = prioritized{}

// Ordinary returns the platform for calls that don't use the reserve.
func (c *Client) Ordinary() storage.Platform {
	return prioritized{client: c, readKind: read, writeKind: write}
}

// Urgent returns the platform for claims, which may use the reserve.
func (c *Client) Urgent() storage.Platform {
	return prioritized{client: c, urgent: true, readKind: read, writeKind: write}
}

// SelfLimited returns the platform for a caller that limits its own table calls to the
// claims' part of the rate. Its reads are not retried.
func (c *Client) SelfLimited() storage.Platform {
	return prioritized{client: c, urgent: true, readKind: claimRead, writeKind: claimWrite}
}

// Get returns one row or storage.ErrNotFound.
func (v prioritized) Get(ctx context.Context, key string) (storage.Row, error) {
	return call(ctx, v.client, v.readKind, v.urgent, func(ctx context.Context) (storage.Row, error) {
		return v.client.inner.Get(ctx, key)
	})
}

// BatchGet returns the rows that exist.
func (v prioritized) BatchGet(ctx context.Context, keys []string) ([]storage.Row, error) {
	return call(ctx, v.client, v.readKind, v.urgent, func(ctx context.Context) ([]storage.Row, error) {
		return v.client.inner.BatchGet(ctx, keys)
	})
}

// Transact applies all writes or none; it is never retried.
func (v prioritized) Transact(ctx context.Context, writes []storage.Write) error {
	return v.write(ctx, v.writeKind, func(ctx context.Context) error { return v.client.inner.Transact(ctx, writes) })
}

// PutObject stores data under the key; it is never retried.
func (v prioritized) PutObject(ctx context.Context, key string, data []byte) error {
	return v.write(ctx, object, func(ctx context.Context) error { return v.client.inner.PutObject(ctx, key, data) })
}

// GetObject returns the data or storage.ErrNotFound.
func (v prioritized) GetObject(ctx context.Context, key string) ([]byte, error) {
	return call(ctx, v.client, read, v.urgent, func(ctx context.Context) ([]byte, error) {
		return v.client.inner.GetObject(ctx, key)
	})
}

// DeleteObject removes the object; it is never retried.
func (v prioritized) DeleteObject(ctx context.Context, key string) error {
	return v.write(ctx, object, func(ctx context.Context) error { return v.client.inner.DeleteObject(ctx, key) })
}

// ListVMs returns the platform's list.
func (v prioritized) ListVMs(ctx context.Context) ([]storage.VM, error) {
	return call(ctx, v.client, read, v.urgent, v.client.inner.ListVMs)
}

func (v prioritized) write(ctx context.Context, k kind, run func(context.Context) error) error {
	_, err := call(ctx, v.client, k, v.urgent, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, run(ctx)
	})
	return err
}
