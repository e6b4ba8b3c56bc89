package drainer

import (
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// acceptQueued returns the connections that a listener has queued, and stops listening directly after the last one. What is
// queued when a socket stops listening is reset by the kernel, and a blocked Accept would delay the stop by its wake-up, so
// none may be in progress.
func acceptQueued(l *net.TCPListener) ([]*net.TCPConn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var descriptors []int
	err = raw.Control(func(fd uintptr) {
		for {
			n, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // the socket is closed in any case
				return
			}
			descriptors = append(descriptors, n)
		}
	})
	var list []*net.TCPConn
	errs := []error{err}
	for _, n := range descriptors {
		f := os.NewFile(uintptr(n), "")
		c, err := net.FileConn(f)
		errs = append(errs, err, f.Close())
		if t, ok := c.(*net.TCPConn); ok {
			list = append(list, t)
		}
	}
	return list, errors.Join(errs...)
}

// hasUnread reports whether a connection has received bytes that are not read yet.
func hasUnread(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
