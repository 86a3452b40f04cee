package node

import (
	"context"

	"github.com/weldline/weldline/internal/feed"
)

// relay is the relay role: it forwards the control plane's feed to the nodes of a zone, and their
// reports and proposals to the control plane.
type relay struct {
	node   *Node
	cache  *feed.Cache
	client *feed.Client
	server *feed.Server
}

func newRelay(node *Node) *relay {
	created := &relay{node: node, cache: feed.NewCache()}
	created.client = feed.NewClient(node.settings.Relay.Upstreams, node.identity(), created.cache, node.logger)
	created.cache.SetClient(created.client)
	created.server = feed.NewServer(created.cache, node.identity(), node.settings.Location().Zones, node.logger, nil)
	return created
}

func (r *relay) start(ctx context.Context) error {
	r.node.workers.Go(func() { r.cache.Run(ctx) })
	return r.node.serveFeed(ctx, r.node.settings.Relay.Listen, r.server.Serve)
}
