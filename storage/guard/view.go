package guard

import (
	"context"

	"github.com/wigeontiller/wigeontiller/storage"
)

// view is the client at one priority.
type view struct {
	client *Client
	urgent bool
	// rows and table are the budgets of the table's reads and writes.
	rows  kind
	table kind
}

var _ storage.Platform = view{}

// Ordinary returns the platform for calls that leave the reserve alone.
func (c *Client) Ordinary() storage.Platform {
	return view{client: c, rows: read, table: write}
}

// Urgent returns the platform for claims, which may use the reserve.
func (c *Client) Urgent() storage.Platform {
	return view{client: c, urgent: true, rows: read, table: write}
}

// Paid returns the platform for a caller that keeps its calls of the table
// within the claims' part itself. Its reads are not repeated.
func (c *Client) Paid() storage.Platform {
	return view{client: c, urgent: true, rows: paidRead, table: paidWrite}
}

// Get returns one row or storage.ErrNotFound.
func (v view) Get(ctx context.Context, key string) (storage.Row, error) {
	return call(ctx, v.client, v.rows, v.urgent, func(ctx context.Context) (storage.Row, error) {
		return v.client.inner.Get(ctx, key)
	})
}

// BatchGet returns the rows that exist.
func (v view) BatchGet(ctx context.Context, keys []string) ([]storage.Row, error) {
	return call(ctx, v.client, v.rows, v.urgent, func(ctx context.Context) ([]storage.Row, error) {
		return v.client.inner.BatchGet(ctx, keys)
	})
}

// Transact applies all writes or none; it is sent once.
func (v view) Transact(ctx context.Context, writes []storage.Write) error {
	return v.write(ctx, v.table, func(ctx context.Context) error { return v.client.inner.Transact(ctx, writes) })
}

// PutObject stores data under the key; it is sent once.
func (v view) PutObject(ctx context.Context, key string, data []byte) error {
	return v.write(ctx, object, func(ctx context.Context) error { return v.client.inner.PutObject(ctx, key, data) })
}

// GetObject returns the data or storage.ErrNotFound.
func (v view) GetObject(ctx context.Context, key string) ([]byte, error) {
	return call(ctx, v.client, read, v.urgent, func(ctx context.Context) ([]byte, error) {
		return v.client.inner.GetObject(ctx, key)
	})
}

// DeleteObject removes the object; it is sent once.
func (v view) DeleteObject(ctx context.Context, key string) error {
	return v.write(ctx, object, func(ctx context.Context) error { return v.client.inner.DeleteObject(ctx, key) })
}

// ListVMs returns the platform's list.
func (v view) ListVMs(ctx context.Context) ([]storage.VM, error) {
	return call(ctx, v.client, read, v.urgent, v.client.inner.ListVMs)
}

func (v view) write(ctx context.Context, k kind, run func(context.Context) error) error {
	_, err := call(ctx, v.client, k, v.urgent, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, run(ctx)
	})
	return err
}
