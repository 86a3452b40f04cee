package fault

import "testing"

// wrapped is an untyped error that wraps another, as libraries return them.
type wrapped struct{ cause error }

func (w wrapped) Error() string { return "running the command: " + w.cause.Error() }
func (w wrapped) Unwrap() error { return w.cause }

// TestWrappedErrorsKeepTheirType checks type, field and message of an error, bare
// and wrapped by an untyped one.
func TestWrappedErrorsKeepTheirType(t *testing.T) {
	bare := InvalidField("zone", "must not be empty")
	for _, err := range []error{bare, wrapped{bare}} {
		if !Is(err, Invalid) || Is(err, Conflict) || FieldOf(err) != "zone" || Message(err) != "must not be empty" {
			t.Errorf("%v: %q, field %q", err, Message(err), FieldOf(err))
		}
	}
	if Is(nil, Invalid) || Message(nil) != "" || FieldOf(nil) != "" {
		t.Error("a nil error has a type, a message or a field")
	}
	if outer := Storage.Wrap(bare, "opening"); !Is(outer, Storage) || Is(outer, Invalid) {
		t.Errorf("%v", outer)
	}
	if described := Describe(wrapped{bare}); described != "zone: must not be empty" {
		t.Error(described)
	}
	if described := Describe(InvalidField("zone", "zone: is wrong")); described != "zone: is wrong" {
		t.Error(described)
	}
}
