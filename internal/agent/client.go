package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/fault"
)

const maxResponseBytes = 4 << 20

// engineClient is a client of the engine protocol for one engine.
type engineClient struct {
	client   *http.Client
	endpoint string
}

func (c *engineClient) report(ctx context.Context) (*engine.Report, error) {
	report := &engine.Report{}
	if err := c.call(ctx, http.MethodGet, "/v1/report", nil, report); err != nil {
		return nil, err
	}
	return report, nil
}

func (c *engineClient) order(ctx context.Context, order engine.Order) (*engine.OrderResult, error) {
	result := &engine.OrderResult{}
	if err := c.call(ctx, http.MethodPost, "/v1/orders", order, result); err != nil {
		return nil, err
	}
	return result, nil
}

func (c *engineClient) call(ctx context.Context, method, path string, body, target any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fault.Internal.Wrap(err, "encoding an engine request")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.endpoint+path, reader)
	if err != nil {
		return fault.Invalid.Wrap(err, "building an engine request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fault.Unavailable.Wrap(err, "calling the engine")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fault.Engine.New("engine returned status %d for %s", response.StatusCode, path)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(target); err != nil {
		return fault.Engine.Wrap(err, "decoding an engine response")
	}
	return nil
}
