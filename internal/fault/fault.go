// Package fault defines the error types of weldline.
//
// Every failure that leaves a package has one of these types, so that callers
// decide by type and never by text. Errors that concern one field of an input
// carry its path in the Field property.
package fault

import (
	"errors"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("weldline")

	// Invalid is bad input: settings, resources or requests.
	Invalid = namespace.NewType("invalid")
	// Conflict is a conditional write that met another revision.
	Conflict = namespace.NewType("conflict")
	// NotFound is a reference to something that does not exist.
	NotFound = namespace.NewType("not_found", errorx.NotFound())
	// InUse is a deletion of something that others refer to.
	InUse = namespace.NewType("in_use")
	// Unavailable is a service that can't be reached or has no leader now.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Unauthorized is a request without a valid token for what it asks.
	Unauthorized = namespace.NewType("unauthorized")
	// Expired is a watch position older than what is kept.
	Expired = namespace.NewType("expired")
	// Corrupt is stored data that fails its checks.
	Corrupt = namespace.NewType("corrupt")
	// Storage is a failed read, write or sync of the data folder.
	Storage = namespace.NewType("storage")
	// Protocol is a peer that breaks the internal protocol.
	Protocol = namespace.NewType("protocol")
	// Deadline is an operation that ran out of time.
	Deadline = namespace.NewType("deadline", errorx.Timeout())
	// Refused is a request that was turned away and not run.
	Refused = namespace.NewType("refused")
	// Engine is a back end that failed or answered out of protocol.
	Engine = namespace.NewType("engine")
	// Stopped is an operation on something that has been closed.
	Stopped = namespace.NewType("stopped")
	// Usage is a command line that can't be carried out.
	Usage = namespace.NewType("usage")
	// Internal is a broken invariant of the program itself.
	Internal = namespace.NewType("internal")
)

// Field is the path of the offending field in an Invalid error.
var Field = errorx.RegisterPrintableProperty("field")

// InvalidField returns an Invalid error about one field.
func InvalidField(field, format string, arguments ...any) *errorx.Error {
	return Invalid.New(format, arguments...).WithProperty(Field, field)
}

// typed returns the typed error in an error's chain, or nil. Libraries wrap
// what passes through them: the command line does so with every failure.
func typed(err error) *errorx.Error {
	var found *errorx.Error
	if errors.As(err, &found) {
		return found
	}
	return nil
}

// FieldOf returns the field of an error, or the empty string.
func FieldOf(err error) string {
	found := typed(err)
	if found == nil {
		return ""
	}
	value, known := errorx.ExtractProperty(found, Field)
	if !known {
		return ""
	}
	field, _ := value.(string)
	return field
}

// Is reports whether err is of the given type.
func Is(err error, kind *errorx.Type) bool {
	found := typed(err)
	return found != nil && errorx.IsOfType(found, kind)
}

// Message returns the text of an error without type names or stack.
func Message(err error) string {
	if err == nil {
		return ""
	}
	if found := typed(err); found != nil {
		return found.Message()
	}
	return err.Error()
}

// Describe returns the text of an error for a person, with the field at fault.
func Describe(err error) string {
	field, message := FieldOf(err), Message(err)
	if field == "" || strings.HasPrefix(message, field+":") {
		return message
	}
	return field + ": " + message
}
