// Package fault defines the error types of weldline.
//
// Every error that a package returns has one of these types, so that callers
// decide by type, not by message. Errors about one field of an input have its path
// in the Field property.
package fault

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("weldline")

	// Invalid is invalid input: settings, resources or requests.
	Invalid = namespace.NewType("invalid")
	// Conflict is a conditional write with an outdated revision.
	Conflict = namespace.NewType("conflict")
	// NotFound is a reference to something that does not exist.
	NotFound = namespace.NewType("not_found", errorx.NotFound())
	// InUse is the deletion of a resource that others refer to.
	InUse = namespace.NewType("in_use")
	// Unavailable is a service that can't be reached or has no leader.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Unauthorized is a request without a valid token for the operation.
	Unauthorized = namespace.NewType("unauthorized")
	// Expired is a watch position older than the retained changes.
	Expired = namespace.NewType("expired")
	// Corrupt is stored data that fails its checks.
	Corrupt = namespace.NewType("corrupt")
	// Storage is a failed read, write or sync of the data directory.
	Storage = namespace.NewType("storage")
	// Protocol is a peer's violation of the internal protocol.
	Protocol = namespace.NewType("protocol")
	// Deadline is an operation that exceeded its deadline.
	Deadline = namespace.NewType("deadline", errorx.Timeout())
	// Late is an operation that timed out while this process had no processor time for it.
	Late = namespace.NewType("late", errorx.Temporary())
	// Refused is a request that was rejected without running.
	Refused = namespace.NewType("refused")
	// Engine is a back end that failed or sent an invalid response.
	Engine = namespace.NewType("engine")
	// Stopped is an operation on something that has been closed.
	Stopped = namespace.NewType("stopped")
	// Usage is an invalid command line.
	Usage = namespace.NewType("usage")
	// Internal is a broken invariant of the program itself.
	Internal = namespace.NewType("internal")
)

// Field is the path of the field that an error is about.
var Field = errorx.RegisterPrintableProperty("field")

// InvalidField returns an Invalid error about one field.
func InvalidField(field, format string, arguments ...any) *errorx.Error {
	return Invalid.New(format, arguments...).WithProperty(Field, field)
}

// asTyped returns the first typed error in an error's chain, or nil.
func asTyped(err error) *errorx.Error {
	var typed *errorx.Error
	if errors.As(err, &typed) {
		return typed
	}
	return nil
}

// FieldOf returns the Field property of an error, or "".
func FieldOf(err error) string {
	typed := asTyped(err)
	if typed == nil {
		return ""
	}
	value, known := errorx.ExtractProperty(typed, Field)
	if !known {
		return ""
	}
	field, _ := value.(string)
	return field
}

// Is reports whether err is of the given type.
func Is(err error, kind *errorx.Type) bool {
	typed := asTyped(err)
	return typed != nil && errorx.IsOfType(typed, kind)
}

// Message returns an error's message without type names.
func Message(err error) string {
	if err == nil {
		return ""
	}
	if typed := asTyped(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// Describe returns an error's message for users, prefixed with its field.
func Describe(err error) string {
	field, message := FieldOf(err), Message(err)
	if field == "" || strings.HasPrefix(message, field+":") {
		return message
	}
	return field + ": " + message
}
