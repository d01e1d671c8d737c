package caller

import (
	"fmt"
	"net"
	"strconv"
)

func splitAddr(addr string) (host string, port uint16, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, fmt.Errorf("caller: address %q: %w", addr, err)
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return "", 0, fmt.Errorf("caller: address %q: port: %w", addr, err)
	}
	return host, uint16(n), nil
}
