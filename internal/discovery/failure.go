package discovery

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"hatchproxy/internal/transient"
)

// Contact is what a failed call shows of the service.
type Contact uint8

// The kinds of contact, from the one that shows least to the one that shows most.
const (
	Silent      Contact = iota // nothing came back: nothing is known of the service
	Unreachable                // the connection was refused: nobody can reach the service now
	Ended                      // the service accepted the call and ended it by a close or a reset
	Rejected                   // the service answered, but not with a list: it turned the call away, or the answer is invalid
)

// Error is the error of Follow.
type Error struct {
	Contact Contact // what the calls show of the service; that of the call that shows most
	// HeldFor is how long the service held the watch that it has ended; 0 if the call that failed was no watch, or one that was
	// given up unanswered.
	HeldFor time.Duration
	Err     error
}

// Error returns the message of the underlying errors.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying errors.
func (e *Error) Unwrap() error { return e.Err }

// errInvalidAnswer marks an answer that is no list.
var errInvalidAnswer = errors.New("invalid answer")

// contactOf returns what the error of a single call shows of the service.
func contactOf(err error) Contact {
	var netError net.Error
	switch {
	case errors.Is(err, errInvalidAnswer):
		return Rejected
	case errors.Is(err, syscall.ECONNREFUSED):
		return Unreachable
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), errors.As(err, &netError) && netError.Timeout(),
		errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH), transient.IsResourceShortage(err):
		return Silent
	}
	return Ended
}

// add adds the failure of one of the calls, which were begun the given time ago.
func (e *Error) add(result answer, elapsed time.Duration) {
	contact := contactOf(result.err)
	e.Contact, e.Err = max(e.Contact, contact), errors.Join(e.Err, result.err)
	if result.watch && contact >= Ended {
		e.HeldFor = elapsed
	}
}
