package httpconn

import "bytes"

// framing follows the bytes of a connection through its HTTP/1 requests. Its zero value expects a request. Malformed
// requests are left to the server, which closes the connection.
type framing struct {
	state framingState
	// left is the rest of a body of known length or of a chunk, in bytes, or the size of the chunk that is being read.
	left int64
	// lineHasText is set if the current line of a head or trailer is not empty.
	lineHasText bool
}

type framingState int

const (
	// betweenRequests: no byte of the next request has been passed.
	betweenRequests framingState = iota
	insideHead
	insideContent
	insideChunkSize
	insideChunkExtension
	insideChunk
	insideChunkEnd
	insideTrailer
	// invalid: where the request ends is unknown.
	invalid
)

// passed is what framing.pass found.
type passed struct {
	// count is the number of bytes that belong to the current request.
	count int
	// headEnded is set if the head of a request ends with these bytes.
	headEnded bool
}

// pass follows the given bytes up to the end of the request, or of its head: what comes next is known only after expectBody.
func (f *framing) pass(content []byte) passed {
	count := 0
	for count < len(content) {
		before := f.state
		count += f.step(content[count:])
		if before != betweenRequests && f.state == betweenRequests {
			return passed{count: count, headEnded: before == insideHead}
		}
	}
	return passed{count: count}
}

// expectBody sets the length of the body of the request whose head has been passed: -1 if it comes in chunks.
func (f *framing) expectBody(length int64) {
	switch {
	case length > 0:
		f.state, f.left = insideContent, length
	case length < 0:
		f.state, f.left = insideChunkSize, 0
	}
}

// step passes the bytes up to the next change of state. It passes none only if it changes the state.
func (f *framing) step(content []byte) int {
	switch f.state {
	case betweenRequests:
		// Servers ignore empty lines before a request.
		blank := len(content) - len(bytes.TrimLeft(content, "\r\n"))
		if blank < len(content) {
			f.state, f.lineHasText = insideHead, false
		}
		return blank
	case insideHead, insideTrailer:
		count, ended := f.passLines(content)
		if ended {
			f.state = betweenRequests
		}
		return count
	case insideContent:
		return f.passLeft(content, betweenRequests)
	case insideChunk:
		return f.passLeft(content, insideChunkEnd)
	case insideChunkSize:
		return f.passChunkSize(content)
	case insideChunkExtension:
		if f.left == 0 {
			return f.passLine(content, insideTrailer)
		}
		return f.passLine(content, insideChunk)
	case insideChunkEnd:
		return f.passLine(content, insideChunkSize)
	}
	return len(content)
}

// passLines passes lines up to the first empty one.
func (f *framing) passLines(content []byte) (count int, ended bool) {
	for count < len(content) {
		line := content[count:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end]
		}
		f.lineHasText = f.lineHasText || len(bytes.TrimLeft(line, "\r")) > 0
		if end < 0 {
			return len(content), false
		}
		count += end + 1
		if !f.lineHasText {
			return count, true
		}
		f.lineHasText = false
	}
	return count, false
}

// passLine passes the rest of a line.
func (f *framing) passLine(content []byte, next framingState) int {
	end := bytes.IndexByte(content, '\n')
	if end < 0 {
		return len(content)
	}
	f.state, f.lineHasText = next, false
	return end + 1
}

func (f *framing) passLeft(content []byte, next framingState) int {
	count := int(min(f.left, int64(len(content))))
	f.left -= int64(count)
	if f.left == 0 {
		f.state = next
	}
	return count
}

// maxChunkBytes bounds the size of a chunk, so that it can't overflow.
const maxChunkBytes = 1 << 50

func (f *framing) passChunkSize(content []byte) int {
	for count, digit := range content {
		value, isDigit := hexDigit(digit)
		if !isDigit {
			f.state = insideChunkExtension
			return count
		}
		f.left = f.left<<4 | int64(value)
		if f.left > maxChunkBytes {
			f.state = invalid
			return count + 1
		}
	}
	return len(content)
}

func hexDigit(digit byte) (value byte, isDigit bool) {
	switch {
	case '0' <= digit && digit <= '9':
		return digit - '0', true
	case 'a' <= digit && digit <= 'f':
		return digit - 'a' + 10, true
	case 'A' <= digit && digit <= 'F':
		return digit - 'A' + 10, true
	}
	return 0, false
}
