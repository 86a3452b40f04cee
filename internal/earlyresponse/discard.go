package earlyresponse

import (
	"io"
	"net"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/tcpopt"
)

const (
	// maxSilence and maxDiscardTime bound the wait for the rest of a request: for its next bytes, and in all.
	maxSilence         = 5 * time.Second
	maxDiscardTime     = 30 * time.Second
	discardBufferBytes = 4 << 10
)

// discard reads to the end within the time limits. It removes the read deadline only if it reached the end, so that
// nothing else waits for a client that did not send it.
func discard(reader io.Reader, setReadDeadline func(time.Time) error) (discarded int64, err error) {
	buffer := make([]byte, discardBufferBytes)
	latest := time.Now().Add(maxDiscardTime)
	for {
		deadline := time.Now().Add(maxSilence)
		if deadline.After(latest) {
			deadline = latest
		}
		if err := setReadDeadline(deadline); err != nil {
			return discarded, fault.Unavailable.Wrap(err, "limiting the time to discard a request")
		}
		count, err := reader.Read(buffer)
		discarded += int64(count)
		if err == io.EOF {
			return discarded, setReadDeadline(time.Time{})
		}
		if err != nil {
			return discarded, fault.Unavailable.Wrap(err, "discarding a request")
		}
	}
}

// closeWrite ends the sending side, so that the client sees the end of the responses. Errors mean that the connection is
// broken, which the next read shows.
func closeWrite(connection net.Conn) {
	if half, supported := connection.(interface{ CloseWrite() error }); supported {
		_ = half.CloseWrite()
	} else if socket := tcpopt.Socket(connection); socket != nil {
		_ = socket.CloseWrite()
	}
}
