// Package resourceapi serves the resource API for operators.
//
//	GET    /apis/weldline/v1/{kind}          list, consistent at one resourceVersion
//	GET    /apis/weldline/v1/{kind}/{name}   read
//	PUT    /apis/weldline/v1/{kind}/{name}   create or replace; conditional if a version is given
//	DELETE /apis/weldline/v1/{kind}/{name}   delete; conditional if a version is given
//	POST   /apis/weldline/v1/apply           several writes in one atomic step
//	PUT    /apis/weldline/v1/zonedrain/{zone}  drain or undrain a zone
//	GET    /apis/weldline/v1/watch?after=N   stream of changes as JSON lines
//	GET    /apis/weldline/v1/status          the cluster as the leader sees it
//
// A write with an Idempotency-Key can be retried; a retry returns the result of
// the first attempt. Reads are linearizable under the leader's lease.
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

// Store is the control node that the API serves.
type Store interface {
	feed.Backend
	// Barrier waits until this node has applied all entries committed so far.
	Barrier(ctx context.Context) error
	// Read calls the function with the state, which is valid only during the call.
	Read(func(machine *state.Machine))
	// DrainZone drains or undrains a zone. Machines of a drained zone get no requests.
	DrainZone(ctx context.Context, zone string, drained bool) error
	Status(ctx context.Context, request *wirepb.StatusRequest) (*wirepb.StatusReply, error)
}

// API is the HTTP handler of the resource API.
type API struct {
	store      Store
	logger     *slog.Logger
	readToken  string
	writeToken string
	router     *mux.Router
}

// New returns the API of a store. An empty writeToken disables authorization.
func New(store Store, logger *slog.Logger, readToken, writeToken string) *API {
	api := &API{store: store, logger: logger, readToken: readToken, writeToken: writeToken, router: mux.NewRouter()}
	routes := api.router.PathPrefix(basePath).Subrouter()
	routes.HandleFunc("/apply", api.wrap(true, api.apply)).Methods(http.MethodPost)
	routes.HandleFunc("/watch", api.wrap(false, api.watch)).Methods(http.MethodGet)
	routes.HandleFunc("/status", api.wrap(false, api.status)).Methods(http.MethodGet)
	routes.HandleFunc("/{kind}", api.wrap(false, api.list)).Methods(http.MethodGet)
	routes.HandleFunc("/{kind}/{name}", api.wrap(false, api.get)).Methods(http.MethodGet)
	routes.HandleFunc("/{kind}/{name}", api.wrap(true, api.put)).Methods(http.MethodPut)
	routes.HandleFunc("/{kind}/{name}", api.wrap(true, api.remove)).Methods(http.MethodDelete)
	api.router.NotFoundHandler = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		problem.New(problem.TypeNotFound, http.StatusNotFound, "no such path").Write(writer)
	})
	return api
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	a.router.ServeHTTP(writer, request)
}

// handler responds to a request, or returns an error for the problem document.
type handler func(writer http.ResponseWriter, request *http.Request) error

// wrap checks the bearer token, limits the size of the body and writes a returned
// error as a problem document.
func (a *API) wrap(isWrite bool, handle handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		err := a.authorize(request, isWrite)
		if err == nil {
			request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
			err = handle(writer, request)
		}
		if err != nil {
			a.writeError(writer, err)
		}
	}
}

func (a *API) writeError(writer http.ResponseWriter, err error) {
	document := problem.FromError(err)
	if revision, isConflict := conflictRevisionOf(err); isConflict {
		document.ResourceVersion = strconv.FormatUint(revision, 10)
	}
	if document.Status >= http.StatusInternalServerError {
		a.logger.Warn("api_request_failed", "status", document.Status, "detail", document.Detail)
	}
	document.Write(writer)
}

func (a *API) authorize(request *http.Request, isWrite bool) error {
	if a.writeToken == "" {
		return nil
	}
	token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if tokensEqual(token, a.writeToken) || !isWrite && a.readToken != "" && tokensEqual(token, a.readToken) {
		return nil
	}
	return fault.Unauthorized.New("a valid bearer token is required")
}

func tokensEqual(left, right string) bool {
	return subtle.ConstantTimeCompare([]byte(left), []byte(right)) == 1
}

func kindFromPath(request *http.Request) (v1.Kind, error) {
	segment := mux.Vars(request)["kind"]
	for _, kind := range v1.Kinds {
		if strings.EqualFold(segment, string(kind)) || strings.EqualFold(segment, string(kind)+"s") {
			return kind, nil
		}
	}
	return "", fault.NotFound.New("there is no kind %q", segment)
}

func (a *API) waitApplied(request *http.Request) error {
	ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
	defer cancel()
	return a.store.Barrier(ctx)
}

func (a *API) list(writer http.ResponseWriter, request *http.Request) error {
	kind, err := kindFromPath(request)
	if err != nil {
		return err
	}
	if err := a.waitApplied(request); err != nil {
		return err
	}
	list := v1.List{Kind: kind + "List", Items: []v1.Resource{}}
	a.store.Read(func(machine *state.Machine) {
		list.ResourceVersion = strconv.FormatUint(machine.Revision(), 10)
		for _, object := range machine.List(kind) {
			list.Items = append(list.Items, toResource(object))
		}
	})
	return writeJSON(writer, list)
}

func (a *API) get(writer http.ResponseWriter, request *http.Request) error {
	kind, err := kindFromPath(request)
	if err != nil {
		return err
	}
	if err := a.waitApplied(request); err != nil {
		return err
	}
	name := mux.Vars(request)["name"]
	var object *wirepb.Object
	a.store.Read(func(machine *state.Machine) { object = machine.Get(kind, name) })
	if object == nil {
		return fault.NotFound.New("%s %s does not exist", kind, name)
	}
	return writeJSON(writer, toResource(object))
}

func toResource(object *wirepb.Object) v1.Resource {
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

func writeJSON(writer http.ResponseWriter, body any) error {
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
	return writeJSON(writer, toStatus(status))
}
