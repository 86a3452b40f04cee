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

// Client calls any of several servers of the resource API. If a server is
// unavailable, the request is retried on the next one with the same
// Idempotency-Key. A Client is not safe for concurrent use.
type Client struct {
	servers     []string
	token       string
	http        *http.Client
	serverIndex int
}

// NewClient returns a client for the given base URLs. authority is a PEM file with
// the CA certificates to verify the servers with, or "" for the system's CAs.
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

// apiRequest is a request to the API; its path is relative to basePath.
type apiRequest struct {
	method string
	path   string
	key    string // Idempotency-Key
	body   any
}

// retry repeats a request while it fails with Unavailable, for at most requestTimeout.
func (c *Client) retry(ctx context.Context, request apiRequest, target any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		err := c.attempt(ctx, request, target)
		if !fault.Is(err, fault.Unavailable) {
			return err
		}
		c.serverIndex++
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

func (c *Client) attempt(ctx context.Context, request apiRequest, target any) error {
	response, err := c.send(ctx, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorFromResponse(response)
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return fault.Unavailable.Wrap(err, "reading the response")
	}
	return nil
}

func (c *Client) send(ctx context.Context, request apiRequest) (*http.Response, error) {
	var encoded []byte
	if request.body != nil {
		var err error
		if encoded, err = json.Marshal(request.body); err != nil {
			return nil, fault.Internal.Wrap(err, "encoding a request")
		}
	}
	target := strings.TrimRight(c.servers[c.serverIndex%len(c.servers)], "/") + basePath + request.path
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(encoded))
	if err != nil {
		return nil, fault.InvalidField("server", "%s", err.Error())
	}
	if c.token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.token)
	}
	if request.key != "" {
		httpRequest.Header.Set("Idempotency-Key", request.key)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, fault.Unavailable.Wrap(err, "request to %s failed", target)
	}
	return response, nil
}

// errorTypes maps the types of problem documents to errors. A missed deadline is
// Unavailable, so that the request is retried.
var errorTypes = map[string]*errorx.Type{
	problem.TypeInvalid:      fault.Invalid,
	problem.TypeConflict:     fault.Conflict,
	problem.TypeNotFound:     fault.NotFound,
	problem.TypeInUse:        fault.InUse,
	problem.TypeUnauthorized: fault.Unauthorized,
	problem.TypeExpired:      fault.Expired,
	problem.TypeUnavailable:  fault.Unavailable,
	problem.TypeDeadline:     fault.Unavailable,
}

// errorFromResponse converts a problem document to a typed error.
func errorFromResponse(response *http.Response) error {
	document := &problem.Document{Type: problem.New(problem.TypeUnavailable, 0, "").Type}
	if err := json.NewDecoder(response.Body).Decode(document); err != nil {
		return fault.Unavailable.New("server returned %s without a problem document", response.Status)
	}
	kind := document.Type[strings.LastIndex(document.Type, "/")+1:]
	known := errorTypes[kind]
	if known == nil {
		return fault.Protocol.New("%s: %s", document.Title, document.Detail)
	}
	detail := document.Detail
	if document.ResourceVersion != "" {
		detail += " (current version " + document.ResourceVersion + ")"
	}
	if document.Field != "" {
		detail = document.Field + ": " + detail
	}
	return known.New("%s", detail).WithProperty(fault.Field, document.Field)
}

// List returns all resources of a kind, read at one version.
func (c *Client) List(ctx context.Context, kind string) (*v1.List, error) {
	list := &v1.List{}
	return list, c.retry(ctx, apiRequest{method: http.MethodGet, path: "/" + url.PathEscape(kind)}, list)
}

// Get returns a resource.
func (c *Client) Get(ctx context.Context, kind, name string) (*v1.Resource, error) {
	resource := &v1.Resource{}
	path := "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	return resource, c.retry(ctx, apiRequest{method: http.MethodGet, path: path}, resource)
}

// Put creates or replaces a resource. key is the Idempotency-Key; it may be empty.
func (c *Client) Put(ctx context.Context, resource *v1.Resource, key string) (*v1.Resource, error) {
	stored := &v1.Resource{}
	path := "/" + url.PathEscape(string(resource.Kind)) + "/" + url.PathEscape(resource.Metadata.Name)
	return stored, c.retry(ctx, apiRequest{method: http.MethodPut, path: path, key: key, body: resource}, stored)
}

// DrainZone drains or undrains a zone. Machines of a drained zone get no requests. The write is
// idempotent, so it needs no key.
func (c *Client) DrainZone(ctx context.Context, zone string, drained bool) error {
	spec, err := json.Marshal(v1.ZoneDrainSpec{Drained: drained})
	if err != nil {
		return fault.Internal.Wrap(err, "encoding a drain")
	}
	resource := &v1.Resource{APIVersion: v1.APIVersion, Kind: v1.KindZoneDrain, Metadata: v1.Metadata{Name: zone}, Spec: spec}
	_, err = c.Put(ctx, resource, "")
	return err
}

// Delete deletes a resource. An empty version makes the deletion unconditional.
func (c *Client) Delete(ctx context.Context, kind, name, version, key string) error {
	path := "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	if version != "" {
		path += "?resourceVersion=" + url.QueryEscape(version)
	}
	return c.retry(ctx, apiRequest{method: http.MethodDelete, path: path, key: key}, &resourceapi.ApplyResult{})
}

// Apply writes several resources in one atomic step.
func (c *Client) Apply(ctx context.Context, request *resourceapi.ApplyRequest, key string) (*resourceapi.ApplyResult, error) {
	result := &resourceapi.ApplyResult{}
	return result, c.retry(ctx, apiRequest{method: http.MethodPost, path: "/apply", key: key, body: request}, result)
}

// Status returns the status of the cluster from its leader.
func (c *Client) Status(ctx context.Context) (*resourceapi.Status, error) {
	status := &resourceapi.Status{}
	return status, c.retry(ctx, apiRequest{method: http.MethodGet, path: "/status"}, status)
}

// Watch calls visit for each event after a version until ctx is done or visit
// fails. If the connection is lost, it resumes after the last event.
func (c *Client) Watch(ctx context.Context, kind, after string, visit func(event resourceapi.WatchEvent) error) error {
	for ctx.Err() == nil {
		err := c.watchOnce(ctx, kind, &after, visit)
		if err != nil && !fault.Is(err, fault.Unavailable) {
			return err
		}
		c.serverIndex++
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

func (c *Client) watchOnce(ctx context.Context, kind string, after *string, visit func(event resourceapi.WatchEvent) error) error {
	path := "/watch?after=" + url.QueryEscape(*after) + "&kind=" + url.QueryEscape(kind)
	response, err := c.send(ctx, apiRequest{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorFromResponse(response)
	}
	decoder := json.NewDecoder(bufio.NewReader(response.Body))
	for {
		var event resourceapi.WatchEvent
		if err := decoder.Decode(&event); err != nil {
			return fault.Unavailable.Wrap(err, "watch connection lost")
		}
		if err := visit(event); err != nil {
			return err
		}
		*after = event.ResourceVersion
	}
}
