package drain

import "golang.org/x/sys/unix"

const (
	// The flags of a TCP segment are in the byte at tcpFlagsOffset.
	tcpFlagsOffset = 13
	tcpSYN, tcpACK = 0x02, 0x10
)

// withoutSYN is a socket filter that drops segments that begin a connection, and passes those that complete one.
var withoutSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSYN, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: ^uint32(0)},
}

// seal keeps the kernel from opening more connections on the listener, which it would reset when the listener is closed. Their clients try again
// and are refused then. It returns false if the kernel does not allow that.
func (s *Server) seal() bool {
	if s.socket == nil {
		return false
	}
	raw, err := s.socket.SyscallConn()
	if err != nil {
		return false
	}
	program := unix.SockFprog{Len: uint16(len(withoutSYN)), Filter: &withoutSYN[0]}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return controlErr == nil && err == nil
}
