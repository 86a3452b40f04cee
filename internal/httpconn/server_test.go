package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// watchedConn reports the reads of net/http that returned something.
type watchedConn struct {
	net.Conn
	reads chan<- int
}

// NetConn returns the connection below.
func (c watchedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c watchedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.reads <- count
	}
	return count, err
}

type watchedListener struct {
	net.Listener
	reads chan<- int
}

func (l watchedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return watchedConn{Conn: accepted, reads: l.reads}, err
}

// Guards against closing a connection under a request of which net/http has read one byte ahead, as it does to notice clients
// that leave.
func TestConnectionIsKeptOnceItsNextRequestBegan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracker, reads, proceed := &Tracker{}, make(chan int, 100), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "6")
		_, _ = io.WriteString(writer, "answer")
		_ = http.NewResponseController(writer).Flush()
		<-proceed
	})}
	tracker.Attach(server)
	go func() {
		_ = server.Serve(watchedListener{Listener: Listener{Listener: listener, Tracker: tracker}, reads: reads})
	}()
	defer func() { _ = server.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	for number := range 2 {
		if _, err := io.WriteString(client, getRequest); err != nil {
			t.Fatal(err)
		}
		if number == 1 { // The first handler has sent its response, and has not returned.
			<-reads
			<-reads
			tracker.CloseIdle()
			close(proceed)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", number, err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "answer" {
			t.Fatalf("request %d: %q, %v", number, body, err)
		}
	}
}

// Guards against a process that ends before the client has got the last response, which its host may not send any more then.
func TestStoppingServerWaitsForDelivery(t *testing.T) {
	tracker := &Tracker{}
	server, client := newPair(t, tracker)
	// The response fits into the server's buffer, and not into what the client can receive before it reads.
	response := make([]byte, 160<<10)
	if err := server.Conn.(*net.TCPConn).SetWriteBuffer(1 << 20); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, getRequest)
	if _, err := server.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	tracker.CloseIdle()
	if _, err := server.Write(response); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if tracker.Busy() != 1 {
		t.Error("the server does not wait until the response is delivered")
	}
	if received, err := io.Copy(io.Discard, client); err != nil || int(received) != len(response) {
		t.Errorf("the client got %d of %d bytes, %v", received, len(response), err)
	}
	_ = client.Close()
	for tracker.Busy() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a request that is read, and handled, on a connection that its server has closed and whose client still sends.
func TestNothingIsReadAfterClose(t *testing.T) {
	tracker := &Tracker{}
	server, client := newUsedPair(t, tracker)
	if _, err := server.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, getRequest+getRequest)
	if _, err := server.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	_ = server.Close() // The second request is received, and a third one follows.
	for range 2 {
		if count, err := server.Read(make([]byte, 100)); count > 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("after the close, %d bytes are read, %v", count, err)
		}
		_, _ = io.WriteString(client, getRequest)
	}
}
