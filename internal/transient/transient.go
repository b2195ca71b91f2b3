// Package transient tells failures of system calls that pass by themselves from those that last, and paces retries. A
// failure that passes says nothing of a peer, and never ends a listener, a loop or the process.
package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// resourceErrors are the errors by which the kernel says that it is short of something just now.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR}

// IsResourceShortage tells whether a call failed since this machine was short of a resource. Source: accept(2), socket(2),
// connect(2), epoll_ctl(2), fcntl(2).
func IsResourceShortage(err error) bool { return matchesAny(err, resourceErrors) }

// fileErrors are those with which reading a file fails for a moment.
var fileErrors = []error{syscall.EIO, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN, syscall.ESTALE}

// IsFileReadError tells whether a file could not be read for a reason that is not the file's own. Source: open(2), read(2).
func IsFileReadError(err error) bool { return matchesAny(err, fileErrors) }

func matchesAny(err error, known []error) bool {
	for _, errno := range known {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// IsClosed tells whether a listener or connection was closed, or its deadline set, by its owner: the only ends of a
// listener.
func IsClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Backoff is the wait between retries: First, then twice as long each time, Longest at most. The zero value of its other
// fields is a backoff at its start.
type Backoff struct {
	Initial, Max time.Duration
	current      time.Duration
}

// Wait waits for the next retry. It returns the context's error where that ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	b.current = min(max(2*b.current, b.Initial), b.Max)
	timer := time.NewTimer(b.current)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reset puts a backoff back to its start.
func (b *Backoff) Reset() { b.current = 0 }

// Retry makes a call again while it fails with an error that passes, until the context ends; it returns the call's own
// last error.
func Retry(ctx context.Context, backoff Backoff, passes func(error) bool, call func() error) error {
	for {
		err := call()
		if err == nil || !passes(err) || backoff.Wait(ctx) != nil {
			return err
		}
	}
}

// readTimeout is how long a file is tried to be read: what a new configuration names counts some seconds after the signal.
const readTimeout = 3 * time.Second

// ReadFile reads a file, again for some seconds while that fails for a reason that passes. Source: OfFiles.
func ReadFile(path string) (text []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	err = Retry(ctx, Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}, IsFileReadError, func() error {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}
