// Package eventstream follows streams of server-sent events, as defined by the HTML standard, without
// buffering or changing them.
package eventstream

import (
	"mime"
	"net/http"
)

// ContentType is the media type of event streams.
const ContentType = "text/event-stream"

// IsEventStream reports whether a response's headers announce an event stream.
func IsEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == ContentType
}

// byteOrderMark may precede a stream and belongs to no line.
const byteOrderMark = "\xef\xbb\xbf"

// Boundary tracks whether a stream, as far as it was followed, ends between two events. The zero value is
// at the start of a stream.
type Boundary struct {
	// markBytes is the number of bytes of the byte order mark received, as long as nothing else was.
	markBytes int
	// started is set once a byte other than the byte order mark was received.
	started bool
	// inLine is set in a line that has begun and not ended, inComment if that line is a comment.
	inLine, inComment bool
	// afterCR is set if the last byte was a carriage return, to which a following line feed belongs.
	afterCR bool
	// inEvent is set if lines of an event were received, but not the blank line that ends it.
	inEvent bool
}

// Follow takes the next part of the stream.
func (b *Boundary) Follow(part []byte) {
	for _, char := range part {
		b.next(char)
	}
}

func (b *Boundary) next(char byte) {
	if !b.started {
		if b.markBytes < len(byteOrderMark) && char == byteOrderMark[b.markBytes] {
			b.markBytes++
			return
		}
		b.started = true
		b.inLine = b.inMark()
	}
	if char == '\n' && b.afterCR {
		b.afterCR = false
		return
	}
	b.afterCR = char == '\r'
	if char == '\n' || char == '\r' {
		switch {
		case !b.inLine:
			b.inEvent = false
		case !b.inComment:
			b.inEvent = true
		}
		b.inLine = false
		return
	}
	if !b.inLine {
		b.inLine, b.inComment = true, char == ':'
	}
}

// inMark reports whether a part of the byte order mark was received.
func (b *Boundary) inMark() bool { return b.markBytes > 0 && b.markBytes < len(byteOrderMark) }

// InsideEvent reports whether the stream would be cut off if it ended here: within a line, or before the
// blank line that ends an event.
func (b *Boundary) InsideEvent() bool { return b.inLine || b.inEvent || !b.started && b.inMark() }
