package upstream

import "github.com/weldline/weldline/internal/fault"

// statusColumn is where the status code begins in a status line.
const statusColumn = len("HTTP/1.1 ")

// foldingDetector finds lines that begin with a blank in the heads that a machine sends for one response: the final one and those
// of interim responses before it. net/http appends such a line to the value of the field before, whatever name the line has. RFC
// 9112 lets a proxy discard the response instead. Its zero value expects a status line.
type foldingDetector struct {
	// isEnded is set after the final head; what follows is a body.
	isEnded bool
	// hasStatus is set after the status line, and isInterim if it has the status of an interim response.
	hasStatus, isInterim bool
	// column is the number of bytes of the current line without its end.
	column int
}

// observe returns an error of type fault.Protocol if the bytes have a line that begins with a blank.
func (d *foldingDetector) observe(received []byte) error {
	for _, each := range received {
		if d.isEnded {
			return nil
		}
		if err := d.observeByte(each); err != nil {
			return err
		}
	}
	return nil
}

func (d *foldingDetector) observeByte(received byte) error {
	switch received {
	case '\r': // Part of the end of a line; net/http accepts no other.
		return nil
	case '\n':
		d.endLine()
		return nil
	case ' ', '\t':
		if d.hasStatus && d.column == 0 {
			return fault.Protocol.New("a line of the head begins with a blank")
		}
	}
	if !d.hasStatus && d.column == statusColumn {
		d.isInterim = received == '1'
	}
	d.column++
	return nil
}

func (d *foldingDetector) endLine() {
	isBlank := d.column == 0
	d.column = 0
	switch {
	case !isBlank || !d.hasStatus:
		d.hasStatus = true
	case d.isInterim:
		*d = foldingDetector{}
	default:
		d.isEnded = true
	}
}
