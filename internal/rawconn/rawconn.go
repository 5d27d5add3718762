// Package rawconn holds operations on raw connections that HTTP and the mesh proxy share.
package rawconn

import "syscall"

// Peek reports whether a connection has unread data and whether the peer has closed it. It consumes nothing.
func Peek(raw syscall.RawConn) (unread, ended bool) {
	err := raw.Control(func(fd uintptr) { // not Read, because another goroutine may be blocked in it
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread, ended || err != nil
}
