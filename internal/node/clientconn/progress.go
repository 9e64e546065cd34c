package clientconn

import "time"

const (
	// receiveBufferBytes is the size that the node asks for as a client connection's receive buffer. The
	// kernel may use twice as much.
	receiveBufferBytes = 256 << 10
	// clientSendBufferBytes is the maximum size of a client's send buffer, which is the default maximum of
	// Linux.
	clientSendBufferBytes = 4 << 20
	// maxInTransitBytes is the maximum number of bytes that a client has sent and the node has not read.
	maxInTransitBytes = clientSendBufferBytes + 2*receiveBufferBytes
	// markIntervalBytes is the distance of the marks of a sendProgress.
	markIntervalBytes = 512 << 10
)

// sendProgress bounds the time at which a client can have sent the last byte of a body, by the number of
// bytes that have been read: while more than maxInTransitBytes are missing, the client is still sending.
type sendProgress struct {
	length int64 // of the body; negative if unknown
	total  int64 // bytes read
	marks  []progressMark
	until  time.Time // the client was still sending at this time; zero if that is not known of any time
}

// progressMark says how many bytes had been read at a time.
type progressMark struct {
	total int64
	at    time.Time
}

// add records that n bytes have been read.
func (p *sendProgress) add(n int, now time.Time) {
	p.total += int64(n)
	if p.length >= 0 {
		if p.total+maxInTransitBytes < p.length {
			p.until = now
		}
		return
	}
	for len(p.marks) > 0 && p.marks[0].total+maxInTransitBytes < p.total {
		p.until = p.marks[0].at
		p.marks = p.marks[1:]
	}
	if len(p.marks) == 0 || p.total >= p.marks[len(p.marks)-1].total+markIntervalBytes {
		p.marks = append(p.marks, progressMark{p.total, now})
	}
}
