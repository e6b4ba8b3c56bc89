package drainer

import (
	"errors"
	"net"
	"slices"

	"golang.org/x/sys/unix"
)

// Tolerant is a listener whose server goes on after errors that pass: those of one connection, and a lack of memory. net/http
// ends a server after most of them.
type Tolerant struct{ net.Listener }

// Accept implements net.Listener.
func (l Tolerant) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if slices.ContainsFunc(passingErrors(), func(e error) bool { return errors.Is(err, e) }) {
		return nil, passingError{err}
	}
	return c, err
}

// passingErrors returns the errors of accept(2) that concern one connection or the state of the machine.
func passingErrors() []error {
	return []error{
		unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.ECONNABORTED, unix.EPROTO, unix.ENOPROTOOPT, unix.EOPNOTSUPP,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENONET,
	}
}

// passingError makes a server wait and accept again.
type passingError struct{ error }

var _ net.Error = passingError{}

// Unwrap returns the error of the listener.
func (e passingError) Unwrap() error { return e.error }

// Timeout implements net.Error.
func (e passingError) Timeout() bool { return false }

// Temporary implements net.Error.
func (e passingError) Temporary() bool { return true }
