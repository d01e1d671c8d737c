// Package contain limits an unexpected error to the request that has caused it.
//
// A runtime error, such as an index out of range, ends only that request. Any other
// panic reports a broken invariant and still ends the process.
package contain

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
)

// maxStackBytes limits the stack in an Error.
const maxStackBytes = 4 << 10

// Error is a runtime error that ended a function.
type Error struct {
	Cause runtime.Error
	// Stack is the beginning of the stack of the goroutine.
	Stack string
}

// Error returns the text of the runtime error.
func (e *Error) Error() string { return fmt.Sprintf("unexpected error: %v", e.Cause) }

// Unwrap returns the runtime error.
func (e *Error) Unwrap() error { return e.Cause }

// Run calls f. It returns an *Error if a runtime error ended f, and nil otherwise.
// Locks that f holds without a deferred release stay locked.
func Run(f func()) (err error) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case runtime.Error:
			stack := debug.Stack()
			err = &Error{Cause: p, Stack: string(stack[:min(len(stack), maxStackBytes)])}
		default:
			panic(p)
		}
	}()
	f()
	return nil
}

// Stack returns the stack of the *Error in err, empty if there is none.
func Stack(err error) string {
	var e *Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Stack
}
