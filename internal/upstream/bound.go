package upstream

import (
	"net"

	"github.com/weldline/weldline/internal/fault"
)

// MaxUnrelayedBytes is the default of how much is read of a machine in an exchange before its response is relayed: all
// heads, responses to other requests, and bodies that this process reads for itself.
const MaxUnrelayedBytes = 64 << 10

// boundedReader reads from the connection to a machine, and fails once the bytes allowed for an exchange have been read.
type boundedReader struct {
	network   net.Conn
	machine   string
	remaining int
	unbounded bool
}

// begin starts an exchange.
func (r *boundedReader) begin(request *Request) {
	r.remaining, r.unbounded = MaxUnrelayedBytes, false
	if request.MaxUnrelayedBytes > 0 {
		r.remaining = request.MaxUnrelayedBytes
	}
}

// Read implements io.Reader.
func (r *boundedReader) Read(buffer []byte) (int, error) {
	if r.unbounded {
		return r.network.Read(buffer)
	}
	if r.remaining <= 0 {
		return 0, fault.Protocol.New("machine %s sent too many bytes that are not relayed", r.machine)
	}
	count, err := r.network.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= count
	return count, err
}
