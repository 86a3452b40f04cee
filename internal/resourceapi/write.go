package resourceapi

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// conflictRevision is the stored revision in a Conflict error.
var conflictRevision = errorx.RegisterProperty("conflict_revision")

func conflictRevisionOf(err error) (uint64, bool) {
	value, found := errorx.ExtractProperty(err, conflictRevision)
	revision, isRevision := value.(uint64)
	return revision, found && isRevision
}

// ApplyRequest is the body of POST /apply.
type ApplyRequest struct {
	Items []v1.Resource `json:"items"`
	// Delete lists resources to delete in the same atomic step.
	Delete []ResourceName `json:"delete,omitempty"`
	// DryRun validates the request without writing.
	DryRun bool `json:"dryRun,omitempty"`
}

// ResourceName identifies a resource.
type ResourceName struct {
	Kind v1.Kind `json:"kind"`
	Name string  `json:"name"`
	// ResourceVersion makes the deletion conditional if set.
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// ApplyResult is the response of POST /apply.
type ApplyResult struct {
	ResourceVersion string `json:"resourceVersion"`
	// Changed lists the resources that were created or changed.
	Changed []ResourceName `json:"changed"`
	DryRun  bool           `json:"dryRun,omitempty"`
}

func (a *API) put(writer http.ResponseWriter, request *http.Request) error {
	kind, err := kindFromPath(request)
	if err != nil {
		return err
	}
	var resource v1.Resource
	if err := decodeBody(request, &resource); err != nil {
		return err
	}
	name := mux.Vars(request)["name"]
	if resource.Kind != kind || resource.Metadata.Name != name {
		return fault.InvalidField("metadata.name", "the body names %s %s, the path %s %s", resource.Kind, resource.Metadata.Name, kind, name)
	}
	if kind == v1.KindZoneDrain {
		return a.putZoneDrain(writer, request, &resource)
	}
	write, err := putWrite(&resource)
	if err != nil {
		return err
	}
	result, err := a.commit(request, []*wirepb.ObjectWrite{write})
	if err != nil {
		return err
	}
	resource.Metadata.ResourceVersion = strconv.FormatUint(result.GetRevision(), 10)
	if len(result.GetObjects()) > 0 {
		resource.Metadata.Generation = result.GetObjects()[0].GetGeneration()
	}
	return writeJSON(writer, resource)
}

// putWrite validates a resource and returns its write, conditional if it has a version.
func putWrite(resource *v1.Resource) (*wirepb.ObjectWrite, error) {
	if err := checkGenericKind(resource.Kind); err != nil {
		return nil, err
	}
	if _, err := v1.Normalize(resource); err != nil {
		return nil, err
	}
	expected, err := v1.ParseRevision(resource.Metadata.ResourceVersion)
	if err != nil {
		return nil, err
	}
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT, ExpectedRevision: expected,
		Object: &wirepb.Object{
			Kind: string(resource.Kind), Name: resource.Metadata.Name,
			Spec: resource.Spec, Labels: resource.Metadata.Labels,
		},
	}, nil
}

func deleteWrite(kind v1.Kind, name, version string) (*wirepb.ObjectWrite, error) {
	if err := checkGenericKind(kind); err != nil {
		return nil, err
	}
	expected, err := v1.ParseRevision(version)
	if err != nil {
		return nil, err
	}
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_DELETE, ExpectedRevision: expected,
		Object: &wirepb.Object{Kind: string(kind), Name: name},
	}, nil
}

func (a *API) remove(writer http.ResponseWriter, request *http.Request) error {
	kind, err := kindFromPath(request)
	if err != nil {
		return err
	}
	name := mux.Vars(request)["name"]
	write, err := deleteWrite(kind, name, request.URL.Query().Get("resourceVersion"))
	if err != nil {
		return err
	}
	result, err := a.commit(request, []*wirepb.ObjectWrite{write})
	if err != nil {
		return err
	}
	return writeJSON(writer, ApplyResult{
		ResourceVersion: strconv.FormatUint(result.GetRevision(), 10),
		Changed:         []ResourceName{{Kind: kind, Name: name}},
	})
}

func (a *API) apply(writer http.ResponseWriter, request *http.Request) error {
	var body ApplyRequest
	if err := decodeBody(request, &body); err != nil {
		return err
	}
	writes, err := applyWrites(&body)
	if err != nil {
		return err
	}
	var result *wirepb.WriteResult
	if body.DryRun {
		result, err = a.dryRun(request, writes)
	} else {
		result, err = a.commit(request, writes)
	}
	if err != nil {
		return err
	}
	response := ApplyResult{
		ResourceVersion: strconv.FormatUint(result.GetRevision(), 10), DryRun: body.DryRun, Changed: []ResourceName{},
	}
	for _, object := range result.GetObjects() {
		response.Changed = append(response.Changed, ResourceName{
			Kind: v1.Kind(object.GetKind()), Name: object.GetName(),
			ResourceVersion: strconv.FormatUint(object.GetRevision(), 10),
		})
	}
	return writeJSON(writer, response)
}

func applyWrites(body *ApplyRequest) ([]*wirepb.ObjectWrite, error) {
	writes := make([]*wirepb.ObjectWrite, 0, len(body.Items)+len(body.Delete))
	for position := range body.Items {
		write, err := putWrite(&body.Items[position])
		if err != nil {
			return nil, prefixField(err, "items", position)
		}
		writes = append(writes, write)
	}
	for position, name := range body.Delete {
		write, err := deleteWrite(name.Kind, name.Name, name.ResourceVersion)
		if err != nil {
			return nil, prefixField(err, "delete", position)
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// prefixField returns an error whose field is prefixed with the position in a list.
func prefixField(err error, list string, position int) error {
	field := list + "[" + strconv.Itoa(position) + "]." + fault.FieldOf(err)
	return fault.InvalidField(field, "%s", fault.Message(err))
}

func (a *API) dryRun(request *http.Request, writes []*wirepb.ObjectWrite) (*wirepb.WriteResult, error) {
	if err := a.waitApplied(request); err != nil {
		return nil, err
	}
	var result *wirepb.WriteResult
	a.store.Read(func(machine *state.Machine) { result = machine.DryRun(writes) })
	return result, resultError(result)
}

func (a *API) commit(request *http.Request, writes []*wirepb.ObjectWrite) (*wirepb.WriteResult, error) {
	ctx, cancel := context.WithTimeout(request.Context(), writeTimeout)
	defer cancel()
	command := &wirepb.Command{
		RequestId: request.Header.Get("Idempotency-Key"),
		Body:      &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}},
	}
	result, err := a.store.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if result.GetWrite() == nil {
		return nil, fault.InvalidField("Idempotency-Key", "%s", result.GetMessage())
	}
	return result.GetWrite(), resultError(result.GetWrite())
}

// resultError returns the error for a failed write, or nil.
func resultError(result *wirepb.WriteResult) error {
	switch result.GetCode() {
	case wirepb.ResultCode_RESULT_CODE_OK:
		return nil
	case wirepb.ResultCode_RESULT_CODE_CONFLICT:
		return fault.Conflict.New("%s", result.GetMessage()).
			WithProperty(fault.Field, result.GetField()).
			WithProperty(conflictRevision, result.GetCurrentRevision())
	case wirepb.ResultCode_RESULT_CODE_NOT_FOUND:
		return fault.NotFound.New("%s", result.GetMessage())
	case wirepb.ResultCode_RESULT_CODE_IN_USE:
		return fault.InUse.New("%s", result.GetMessage())
	case wirepb.ResultCode_RESULT_CODE_UNAVAILABLE:
		return fault.Unavailable.New("%s", result.GetMessage())
	}
	return fault.InvalidField(result.GetField(), "%s", result.GetMessage())
}
