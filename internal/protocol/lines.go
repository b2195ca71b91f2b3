// Package protocol holds the state machines for the lines that clients and servers speak. They are fed bytes
// and return events; they know no socket and no clock. The protocol's words end here.
package protocol

import (
	"bytes"
	"errors"
	"sync"
)

// maxLineLength is the most bytes that a line may have, its CRLF included.
const maxLineLength = 4096

var (
	errLineTooLong = errors.New("a line is longer than 4096 bytes")
	errNoCRLF      = errors.New("a line does not end in CRLF")
)

// lineBuffers hold lines that have come in part. All are of one size.
var lineBuffers = sync.Pool{New: func() any { return new([maxLineLength]byte) }}

// lineReader cuts bytes into lines. It has a buffer of the pool only while a line has come in part.
type lineReader struct {
	buf  *[maxLineLength]byte
	size int
}

// next takes the first line off b, without its CRLF; whole is false where more bytes are needed. The line
// is good until the next call.
func (l *lineReader) next(b []byte) (line, rest []byte, whole bool, err error) {
	end := bytes.IndexByte(b, '\n')
	take := end + 1
	if end < 0 {
		take = len(b)
	}
	if l.size+take > maxLineLength || end < 0 && l.size+take == maxLineLength {
		l.release()
		return nil, nil, false, errLineTooLong
	}
	if l.size == 0 && end >= 0 {
		line, rest = b[:take], b[take:]
	} else {
		if l.buf == nil {
			l.buf = lineBuffers.Get().(*[maxLineLength]byte)
		}
		l.size += copy(l.buf[l.size:], b[:take])
		if end < 0 {
			return nil, nil, false, nil
		}
		line, rest = l.buf[:l.size], b[take:]
		l.size = 0
	}
	if len(line) < 2 || line[len(line)-2] != '\r' || bytes.IndexByte(line[:len(line)-2], '\r') >= 0 {
		return nil, nil, false, errNoCRLF
	}
	return line[:len(line)-2], rest, true, nil
}

// partial is a copy of what has come of a line that is not whole yet.
func (l *lineReader) partial() []byte {
	if l.buf == nil {
		return nil
	}
	return bytes.Clone(l.buf[:l.size])
}

// release gives the buffer back.
func (l *lineReader) release() {
	if l.buf != nil {
		lineBuffers.Put(l.buf)
		l.buf = nil
	}
	l.size = 0
}
