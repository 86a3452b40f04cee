// Package operator is a client of the resource API.
package operator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/keys"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/resourceapi"
)

const (
	basePath       = "/apis/weldline/v1"
	requestTimeout = 15 * time.Second
	retryDelay     = 200 * time.Millisecond
)

// Client talks to any of several servers of the resource API. A request that
// got no clear answer is sent again, to the next server, under the same
// Idempotency-Key.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	current int
}

// NewClient returns a client of the given base URLs. Authority is the PEM file
// of the authority that signs the servers' certificates; empty for the
// system's.
func NewClient(servers []string, token, authority string) (*Client, error) {
	if len(servers) == 0 {
		return nil, fault.InvalidField("server", "at least one server is required")
	}
	client := &Client{servers: servers, token: token, http: &http.Client{}}
	if authority == "" {
		return client, nil
	}
	pool, err := keys.ReadAuthority(authority, "authority")
	if err != nil {
		return nil, err
	}
	client.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}}
	return client, nil
}

// call is one request to the API.
type call struct {
	method string
	path   string
	key    string
	body   any
}

// do sends a request until it gets a clear answer or ctx ends.
func (c *Client) do(ctx context.Context, request call, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		err := c.once(ctx, request, answer)
		if !fault.Is(err, fault.Unavailable) {
			return err
		}
		c.current++
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

func (c *Client) once(ctx context.Context, request call, answer any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorOf(response)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fault.Unavailable.Wrap(err, "reading the answer")
	}
	return nil
}

func (c *Client) send(ctx context.Context, request call) (*http.Response, error) {
	var encoded []byte
	if request.body != nil {
		var err error
		if encoded, err = json.Marshal(request.body); err != nil {
			return nil, fault.Internal.Wrap(err, "encoding a request")
		}
	}
	target := strings.TrimRight(c.servers[c.current%len(c.servers)], "/") + basePath + request.path
	created, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(encoded))
	if err != nil {
		return nil, fault.InvalidField("server", "%s", err.Error())
	}
	if c.token != "" {
		created.Header.Set("Authorization", "Bearer "+c.token)
	}
	if request.key != "" {
		created.Header.Set("Idempotency-Key", request.key)
	}
	response, err := c.http.Do(created)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "no answer from %s", target)
	}
	return response, nil
}

var faults = map[string]*errorx.Type{
	problem.TypeInvalid:      fault.Invalid,
	problem.TypeConflict:     fault.Conflict,
	problem.TypeNotFound:     fault.NotFound,
	problem.TypeInUse:        fault.InUse,
	problem.TypeUnauthorized: fault.Unauthorized,
	problem.TypeExpired:      fault.Expired,
	problem.TypeUnavailable:  fault.Unavailable,
	problem.TypeDeadline:     fault.Unavailable,
}

// errorOf turns a problem document back into a typed error.
func errorOf(response *http.Response) error {
	document := &problem.Document{Type: problem.New(problem.TypeUnavailable, 0, "").Type}
	if err := json.NewDecoder(response.Body).Decode(document); err != nil {
		return fault.Unavailable.New("the server answered %s without a problem document", response.Status)
	}
	kind := document.Type[strings.LastIndex(document.Type, "/")+1:]
	known := faults[kind]
	if known == nil {
		return fault.Protocol.New("%s: %s", document.Title, document.Detail)
	}
	detail := document.Detail
	if document.ResourceVersion != "" {
		detail += " (present version " + document.ResourceVersion + ")"
	}
	if document.Field != "" {
		detail = document.Field + ": " + detail
	}
	return known.New("%s", detail).WithProperty(fault.Field, document.Field)
}

// List returns all resources of a kind.
func (c *Client) List(ctx context.Context, kind string) (*v1.List, error) {
	list := &v1.List{}
	return list, c.do(ctx, call{method: http.MethodGet, path: "/" + url.PathEscape(kind)}, list)
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind, name string) (*v1.Resource, error) {
	resource := &v1.Resource{}
	path := "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	return resource, c.do(ctx, call{method: http.MethodGet, path: path}, resource)
}

// Put writes one resource under a key.
func (c *Client) Put(ctx context.Context, resource *v1.Resource, key string) (*v1.Resource, error) {
	answer := &v1.Resource{}
	path := "/" + url.PathEscape(string(resource.Kind)) + "/" + url.PathEscape(resource.Metadata.Name)
	return answer, c.do(ctx, call{method: http.MethodPut, path: path, key: key, body: resource}, answer)
}

// DrainZone orders that the machines of a zone get no requests, or that they get them again. The
// same order may be given again, so it needs no key.
func (c *Client) DrainZone(ctx context.Context, zone string, drained bool) error {
	spec, err := json.Marshal(v1.ZoneDrainSpec{Drained: drained})
	if err != nil {
		return fault.Internal.Wrap(err, "encoding a drain")
	}
	order := &v1.Resource{APIVersion: v1.APIVersion, Kind: v1.KindZoneDrain, Metadata: v1.Metadata{Name: zone}, Spec: spec}
	_, err = c.Put(ctx, order, "")
	return err
}

// Delete removes one resource; an empty version makes it unconditional.
func (c *Client) Delete(ctx context.Context, kind, name, version, key string) error {
	path := "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	if version != "" {
		path += "?resourceVersion=" + url.QueryEscape(version)
	}
	return c.do(ctx, call{method: http.MethodDelete, path: path, key: key}, &resourceapi.ApplyResult{})
}

// Apply writes many resources, all or none, under a key.
func (c *Client) Apply(ctx context.Context, request *resourceapi.ApplyRequest, key string) (*resourceapi.ApplyResult, error) {
	result := &resourceapi.ApplyResult{}
	return result, c.do(ctx, call{method: http.MethodPost, path: "/apply", key: key, body: request}, result)
}

// Status returns the cluster as its leader sees it.
func (c *Client) Status(ctx context.Context) (*resourceapi.Status, error) {
	status := &resourceapi.Status{}
	return status, c.do(ctx, call{method: http.MethodGet, path: "/status"}, status)
}

// Watch calls visit for each event after a version until ctx ends. A lost
// connection is resumed at the last version seen.
func (c *Client) Watch(ctx context.Context, kind, after string, visit func(event resourceapi.WatchEvent) error) error {
	for ctx.Err() == nil {
		err := c.watchOnce(ctx, kind, &after, visit)
		if err != nil && !fault.Is(err, fault.Unavailable) {
			return err
		}
		c.current++
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

func (c *Client) watchOnce(ctx context.Context, kind string, after *string, visit func(event resourceapi.WatchEvent) error) error {
	path := "/watch?after=" + url.QueryEscape(*after) + "&kind=" + url.QueryEscape(kind)
	response, err := c.send(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorOf(response)
	}
	decoder := json.NewDecoder(bufio.NewReader(response.Body))
	for {
		var event resourceapi.WatchEvent
		if err := decoder.Decode(&event); err != nil {
			return fault.Unavailable.Wrap(err, "the watch was cut off")
		}
		if err := visit(event); err != nil {
			return err
		}
		*after = event.ResourceVersion
	}
}
