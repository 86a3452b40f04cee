package httpconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

// randomRequest returns a request in one of the forms that net/http accepts, and the length of its body for expectBody.
func randomRequest(random *rand.Rand) (text string, length int64) {
	content := strings.Repeat("x\r\n\r\nGET / HTTP/1.1\r\n\n", random.IntN(4))
	lineEnd := []string{"\r\n", "\n"}[random.IntN(2)]
	head := []string{"POST / HTTP/1.1", "Host: a", "X-Long: " + strings.Repeat("y", random.IntN(200))}
	switch random.IntN(3) {
	case 0:
		return "GET " + strings.TrimPrefix(strings.Join(head, lineEnd), "POST ") + lineEnd + lineEnd, 0
	case 1:
		head = append(head, fmt.Sprintf("Content-Length: %d", len(content)))
		return strings.Join(head, lineEnd) + lineEnd + lineEnd + content, int64(len(content))
	}
	head = append(head, "Transfer-Encoding: chunked")
	chunks := ""
	for rest := content; rest != ""; {
		size := 1 + random.IntN(len(rest))
		chunks += fmt.Sprintf([]string{"%x\r\n%s\r\n", "%X;extension=\"a\"\r\n%s\r\n", "0%x\r\n%s\r\n"}[random.IntN(3)], size, rest[:size])
		rest = rest[size:]
	}
	end := []string{"0\r\n\r\n", "0\r\nX-Trailer: a\r\n\r\n", "000\r\n\r\n"}[random.IntN(3)]
	return strings.Join(head, lineEnd) + lineEnd + lineEnd + chunks + end, -1
}

// TestFramingFindsTheEndsOfRequests passes requests in pieces of random length, and checks that each ends where net/http ends it.
func TestFramingFindsTheEndsOfRequests(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		stream, ends, lengths := "", []int{}, []int64{}
		for range 1 + random.IntN(5) {
			text, length := randomRequest(random)
			stream += text
			ends, lengths = append(ends, len(stream)), append(lengths, length)
		}
		checkEnds(t, seed, stream, ends)
		var followed framing
		for position, number := 0, 0; position < len(stream); {
			received := []byte(stream[position : position+1+random.IntN(len(stream)-position)])
			found := followed.pass(received)
			if found.count < 1 || found.count > len(received) {
				t.Fatalf("seed %d: %d of %d bytes are passed", seed, found.count, len(received))
			}
			position += found.count
			if found.headEnded {
				followed.expectBody(lengths[number])
			}
			if position > ends[number] {
				t.Fatalf("seed %d: request %d of %q ends at %d, but %d bytes are passed", seed, number, stream, ends[number], position)
			}
			if hasEnded := followed.state == betweenRequests; hasEnded != (position == ends[number]) {
				t.Fatalf("seed %d: at %d of %q, request %d has ended: %t", seed, position, stream, number, hasEnded)
			}
			if position == ends[number] {
				number++
			}
		}
	}
}

// checkEnds checks by net/http that requests end where they are taken to end.
func checkEnds(t *testing.T, seed uint64, stream string, ends []int) {
	t.Helper()
	start := 0
	for _, end := range ends {
		text := bytes.NewBufferString(stream[start:end])
		reader := bufio.NewReader(text)
		request, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatalf("seed %d: %v in %q", seed, err, stream[start:end])
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || reader.Buffered()+text.Len() > 0 {
			t.Fatalf("seed %d: %v, %d bytes are left of %q", seed, err, reader.Buffered()+text.Len(), stream[start:end])
		}
		start = end
	}
}

func TestFramingIgnoresEmptyLinesBetweenRequests(t *testing.T) {
	var followed framing
	if found := followed.pass([]byte("\r\n\r\n")); found.count != 4 || found.headEnded || followed.state != betweenRequests {
		t.Errorf("%+v, state %d", found, followed.state)
	}
	if found := followed.pass([]byte("\r\n" + getRequest + "GET")); found.count != 2+len(getRequest) || !found.headEnded {
		t.Errorf("%+v", found)
	}
}

// A chunk whose size can't be represented must not make the following bytes look like a request.
func TestFramingDoesNotOverflow(t *testing.T) {
	followed := framing{state: insideChunkSize}
	text := strings.Repeat("f", 40) + "\r\n" + getRequest
	if found := followed.pass([]byte(text)); found.count != len(text) || followed.state != invalid {
		t.Errorf("%+v, state %d", found, followed.state)
	}
}
