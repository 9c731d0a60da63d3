package store

import (
	"errors"
	"net"
)

// NoResponseError returns the error for a call without a response. If the connection could not be
// opened, nothing was applied; otherwise the outcome is unknown.
func NoResponseError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return ErrUnavailable.Wrap(err, "the key-value service can't be reached")
	}
	return ErrUnknownOutcome.Wrap(err, "no response from the key-value service")
}

// ReadError converts ErrUnknownOutcome to ErrUnavailable, as a read doesn't change anything.
func ReadError(err error) error {
	if IsErrUnknownOutcome(err) {
		return ErrUnavailable.Wrap(err, "the read failed")
	}
	return err
}
