// Package resourceapi serves the operators' resource API.
//
//	GET    /apis/weldline/v1/{kind}          list at one resourceVersion
//	GET    /apis/weldline/v1/{kind}/{name}   read
//	PUT    /apis/weldline/v1/{kind}/{name}   create or replace, conditionally
//	DELETE /apis/weldline/v1/{kind}/{name}   delete, conditionally
//	POST   /apis/weldline/v1/apply           many writes, all or none
//	PUT    /apis/weldline/v1/zonedrain/{zone}  drain a zone, or end that
//	GET    /apis/weldline/v1/watch?after=N   changes as JSON lines
//	GET    /apis/weldline/v1/status          the cluster as the leader sees it
//
// A write with an Idempotency-Key may be sent again after a lost answer; it
// returns its first result. Reads are confirmed by the leader's lease.
package resourceapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	maxBodyBytes     = 16 << 20
	writeTimeout     = 10 * time.Second
	readTimeout      = 5 * time.Second
	bookmarkInterval = 2 * time.Second
	basePath         = "/apis/weldline/v1"
)

// Store is the control node behind the API.
type Store interface {
	feed.Backend
	// Barrier waits until this node has applied all that was committed.
	Barrier(ctx context.Context) error
	// Read calls the function with the state, which it must not keep.
	Read(func(machine *state.Machine))
	// DrainZone orders that the machines of a zone get no requests, or that they get them again.
	DrainZone(ctx context.Context, zone string, drained bool) error
	// Status returns the leader's view of the cluster.
	Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error)
}

// API is the HTTP handler.
type API struct {
	store      Store
	logger     *slog.Logger
	readToken  string
	writeToken string
	router     *mux.Router
}

// New returns the API over a store. Empty tokens allow everyone.
func New(store Store, logger *slog.Logger, readToken, writeToken string) *API {
	api := &API{store: store, logger: logger, readToken: readToken, writeToken: writeToken, router: mux.NewRouter()}
	routes := api.router.PathPrefix(basePath).Subrouter()
	routes.HandleFunc("/apply", api.guard(true, api.apply)).Methods(http.MethodPost)
	routes.HandleFunc("/watch", api.guard(false, api.watch)).Methods(http.MethodGet)
	routes.HandleFunc("/status", api.guard(false, api.status)).Methods(http.MethodGet)
	routes.HandleFunc("/{kind}", api.guard(false, api.list)).Methods(http.MethodGet)
	routes.HandleFunc("/{kind}/{name}", api.guard(false, api.get)).Methods(http.MethodGet)
	routes.HandleFunc("/{kind}/{name}", api.guard(true, api.put)).Methods(http.MethodPut)
	routes.HandleFunc("/{kind}/{name}", api.guard(true, api.remove)).Methods(http.MethodDelete)
	api.router.NotFoundHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		problem.New(problem.TypeNotFound, http.StatusNotFound, "no such path").Write(writer)
	})
	return api
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	a.router.ServeHTTP(writer, request)
}

// handler answers a request or returns the failure to report.
type handler func(writer http.ResponseWriter, request *http.Request) error

// guard checks the token, bounds the body and reports failures.
func (a *API) guard(writes bool, handle handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		err := a.authorize(request, writes)
		if err == nil {
			request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
			err = handle(writer, request)
		}
		if err != nil {
			a.report(writer, err)
		}
	}
}

func (a *API) report(writer http.ResponseWriter, err error) {
	document := problem.FromError(err)
	if conflict, isConflict := conflictOf(err); isConflict {
		document.ResourceVersion = strconv.FormatUint(conflict, 10)
	}
	if document.Status >= http.StatusInternalServerError {
		a.logger.Warn("api_request_failed", "status", document.Status, "detail", document.Detail)
	}
	document.Write(writer)
}

func (a *API) authorize(request *http.Request, writes bool) error {
	if a.writeToken == "" {
		return nil
	}
	token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if sameToken(token, a.writeToken) || !writes && a.readToken != "" && sameToken(token, a.readToken) {
		return nil
	}
	return fault.Unauthorized.New("a valid bearer token is required")
}

func sameToken(left, right string) bool {
	return subtle.ConstantTimeCompare([]byte(left), []byte(right)) == 1
}

func kindOf(request *http.Request) (v1.Kind, error) {
	named := mux.Vars(request)["kind"]
	for _, kind := range v1.Kinds {
		if strings.EqualFold(named, string(kind)) || strings.EqualFold(named, string(kind)+"s") {
			return kind, nil
		}
	}
	return "", fault.NotFound.New("there is no kind %q", named)
}

func (a *API) barrier(request *http.Request) error {
	ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
	defer cancel()
	return a.store.Barrier(ctx)
}

func (a *API) list(writer http.ResponseWriter, request *http.Request) error {
	kind, err := kindOf(request)
	if err != nil {
		return err
	}
	if err := a.barrier(request); err != nil {
		return err
	}
	list := v1.List{Kind: kind + "List", Items: []v1.Resource{}}
	a.store.Read(func(machine *state.Machine) {
		list.ResourceVersion = strconv.FormatUint(machine.Revision(), 10)
		for _, object := range machine.List(kind) {
			list.Items = append(list.Items, resourceOf(object))
		}
	})
	return respond(writer, list)
}

func (a *API) get(writer http.ResponseWriter, request *http.Request) error {
	kind, err := kindOf(request)
	if err != nil {
		return err
	}
	if err := a.barrier(request); err != nil {
		return err
	}
	name := mux.Vars(request)["name"]
	var found *wirepb.Object
	a.store.Read(func(machine *state.Machine) { found = machine.Get(kind, name) })
	if found == nil {
		return fault.NotFound.New("%s %s does not exist", kind, name)
	}
	return respond(writer, resourceOf(found))
}

func resourceOf(object *wirepb.Object) v1.Resource {
	return v1.Resource{
		APIVersion: v1.APIVersion,
		Kind:       v1.Kind(object.GetKind()),
		Metadata: v1.Metadata{
			Name:            object.GetName(),
			ResourceVersion: strconv.FormatUint(object.GetRevision(), 10),
			Generation:      object.GetGeneration(),
			Labels:          object.GetLabels(),
		},
		Spec:   object.GetSpec(),
		Status: object.GetStatus(),
	}
}

func respond(writer http.ResponseWriter, body any) error {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(body); err != nil {
		return fault.Unavailable.Wrap(err, "writing the answer")
	}
	return nil
}

func decodeBody(request *http.Request, target any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fault.InvalidField("body", "%s", err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fault.InvalidField("body", "there is something behind the JSON document")
	}
	return nil
}

func (a *API) status(writer http.ResponseWriter, request *http.Request) error {
	ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
	defer cancel()
	status, err := a.store.Status(ctx, &wirepb.StatusRequest{})
	if err != nil {
		return err
	}
	return respond(writer, statusOf(status))
}
