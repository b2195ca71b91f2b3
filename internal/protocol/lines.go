// Package protocol implements the line protocol of clients and servers as state machines. They are fed the bytes of a
// connection and return events; they use no socket and no clock. No other package of the proxy parses these lines.
package protocol

import (
	"bytes"
	"errors"
	"sync"
)

// maxLineLength is the maximum length of a line in bytes, including CRLF.
const maxLineLength = 4096

var (
	errLineTooLong = errors.New("a line is longer than 4096 bytes")
	errNoCRLF      = errors.New("a line does not end in CRLF")
)

// lineBuffers is a pool of buffers for lines that have been received in part. All are of one size.
var lineBuffers = sync.Pool{New: func() any { return new([maxLineLength]byte) }}

// lineReader splits bytes into lines. It holds a buffer of the pool only while a line has been received in part.
type lineReader struct {
	buf  *[maxLineLength]byte
	size int
}

// next returns the first line without its CRLF, and the rest of b after it; whole is false if more bytes are needed. The
// line is valid until the next call. The error says that the line is too long or does not end in CRLF.
func (l *lineReader) next(b []byte) (line, rest []byte, whole bool, err error) {
	end := bytes.IndexByte(b, '\n')
	length := end + 1
	if end < 0 {
		length = len(b)
	}
	if l.size+length > maxLineLength || end < 0 && l.size+length == maxLineLength {
		l.release()
		return nil, nil, false, errLineTooLong
	}
	if l.size == 0 && end >= 0 {
		line, rest = b[:length], b[length:]
	} else {
		if l.buf == nil {
			l.buf = lineBuffers.Get().(*[maxLineLength]byte)
		}
		l.size += copy(l.buf[l.size:], b[:length])
		if end < 0 {
			return nil, nil, false, nil
		}
		line, rest = l.buf[:l.size], b[length:]
		l.size = 0
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
		return nil, nil, false, errNoCRLF
	}
	return line[:len(line)-2], rest, true, nil
}

// partial returns a copy of the part of a line that has been received so far; nil if there is none.
func (l *lineReader) partial() []byte {
	if l.buf == nil {
		return nil
	}
	return bytes.Clone(l.buf[:l.size])
}

// release returns the buffer to the pool.
func (l *lineReader) release() {
	if l.buf != nil {
		lineBuffers.Put(l.buf)
		l.buf = nil
	}
	l.size = 0
}
