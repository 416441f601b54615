package httpclient

import (
	"context"

	"pollenbend/internal/platform"
	"pollenbend/internal/platform/wire"
)

// maxListConns is the maximum number of connections to the instance list.
const maxListConns = 2

// InstanceList implements platform.InstanceList.
type InstanceList struct {
	url    string
	client *client
}

var _ platform.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the instance list at baseURL.
func NewInstanceList(baseURL string) *InstanceList {
	return &InstanceList{url: baseURL + wire.PathList, client: newClient(maxListConns)}
}

// List implements platform.InstanceList.
func (l *InstanceList) List(ctx context.Context) (platform.Listing, error) {
	var reply platform.Listing
	if err := l.client.get(ctx, 0, l.url, &reply); err != nil {
		return platform.Listing{}, err
	}
	return reply, nil
}

// Close closes the idle connections.
func (l *InstanceList) Close() { l.client.close() }
