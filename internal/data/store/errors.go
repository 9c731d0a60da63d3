package store

import (
	"errors"
	"net"
)

// SendError returns the error of a call without an answer: nothing was applied where no
// connection was opened.
func SendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return ErrUnavailable.Wrap(err, "the key-value service can't be reached")
	}
	return ErrUnknownOutcome.Wrap(err, "no reply from the key-value service")
}

// ReadError turns an unknown outcome into an unavailable one: a read changes nothing.
func ReadError(err error) error {
	if IsErrUnknownOutcome(err) {
		return ErrUnavailable.Wrap(err, "the read failed")
	}
	return err
}
