// Package rawconn is what both planes that carry traffic do with raw connections.
package rawconn

import "syscall"

// Peek looks at a connection without reading it: does anything wait to be read, and has the other side ended it?
func Peek(raw syscall.RawConn) (unread, ended bool) {
	err := raw.Control(func(fd uintptr) { // not Read: somebody waits in one
		var first [1]byte
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread, ended || err != nil
}
