package drainer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen opens a listener for New.
func Listen(address netip.AddrPort) (*net.TCPListener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // multipath sockets have no filters
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l.(*net.TCPListener), nil // no other type listens on TCP
}

const (
	tcpHeaderLengthOffset = 12 // bytes from the start of the TCP header; the length is in the upper half of the byte
	tcpHeaderLengthShift  = 4
	tcpHeaderWordShift    = 2  // from words of four bytes to bytes
	tcpFlagsOffset        = 13 // bytes from the start of the TCP header
	tcpFlagSYN            = 2
	passAll               = 0xffffffff // bytes of a packet
)

// deliveryTime is the time for a segment that passed before a filter was attached to reach the socket's queue.
const deliveryTime = time.Millisecond

// refuseConnects makes the kernel drop new requests to connect to a listener. Handshakes in progress complete. Clients send
// their requests again, and reach the next process or are refused.
func refuseConnects(l *net.TCPListener) error {
	return attachFilter(l, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K},
		{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
	})
}

// refuseData makes the kernel drop all segments with data, unacknowledged. The client's kernel sends them again, and gets a
// reset once the connection is closed. Segments that close the connection pass.
func refuseData(c *net.TCPConn) error {
	return attachFilter(c, []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpHeaderLengthOffset},
		{Code: unix.BPF_ALU | unix.BPF_RSH | unix.BPF_K, K: tcpHeaderLengthShift},
		{Code: unix.BPF_ALU | unix.BPF_LSH | unix.BPF_K, K: tcpHeaderWordShift},
		{Code: unix.BPF_MISC | unix.BPF_TAX},
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_LEN},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_X, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
		{Code: unix.BPF_RET | unix.BPF_K},
	})
}

// acceptData ends refuseData. What was dropped arrives with the client's next retransmission.
func acceptData(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) // fails only if there is none
	})
}

// attachFilter attaches a filter for the segments that a socket receives.
func attachFilter(s syscall.Conn, program []unix.SockFilter) error {
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) {
		result = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, result)
}

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

// unread returns the number of bytes that a connection has received and that were not read.
func unread(c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	if err != nil {
		return 0
	}
	return n
}
