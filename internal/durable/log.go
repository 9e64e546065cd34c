package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// A log holds the records appended after the snapshot with the same sequence number. It consists of a header and a series of
// records, each with its length and a checksum that also covers its position. A log must be replayed only on that snapshot: a
// later snapshot may differ from the state that replaying the log gives.
const (
	logMagic  = "umbrlog1"
	logSuffix = ".log"

	logHeaderSize    = len(logMagic) + seqSize + checksumSize
	recordLengthSize = 4
	recordHeaderSize = recordLengthSize + checksumSize
)

// ErrLogFailed is returned by Append after an Append, or the write of a snapshot, has failed. Nothing is appended until a Save
// succeeds, because the content of the log is unknown or a newer snapshot may make it obsolete.
var ErrLogFailed = errors.New("an earlier write to the log failed")

// ErrNoSnapshot is returned by Append before the first successful Save of a Store.
var ErrNoSnapshot = errors.New("no snapshot has been saved")

func (o *Options) logPath(seq uint64) string {
	return filepath.Join(o.Dir, fmt.Sprintf("%s-%016x%s", o.Kind, seq, logSuffix))
}

// Append appends records to the log of the last saved snapshot. When it returns nil, all of them are durable. After an error
// of the disk, some of them may be durable, and every call fails with ErrLogFailed until Save succeeds. A record over
// Options.MaxPayload is an error that writes nothing. Before the first successful Save, Append fails with ErrNoSnapshot.
func (s *Store) Append(records ...[]byte) (err error) {
	switch {
	case s.snapshotSeq == 0:
		return fmt.Errorf("%s: %w", s.opt.Dir, ErrNoSnapshot)
	case s.logFailed:
		return fmt.Errorf("%s: %w", s.opt.Dir, ErrLogFailed)
	}
	size, err := s.encodedSize(records)
	if err != nil {
		return err
	}
	defer func() { s.logFailed = err != nil }()
	isNew := s.log == nil
	if isNew {
		if s.log, err = s.opt.FS.Create(s.opt.logPath(s.snapshotSeq)); err != nil {
			return err
		}
	}
	if _, err := s.log.Write(s.encodeRecords(records, size, isNew)); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	if isNew {
		if err := s.opt.FS.SyncDir(s.opt.Dir); err != nil {
			return err
		}
	}
	s.recordCount += uint64(len(records))
	s.logSize += size
	return nil
}

// encodedSize returns the size of records in the log in bytes, without the log's header. It fails if a record is longer than
// Options.MaxPayload.
func (s *Store) encodedSize(records [][]byte) (int, error) {
	size := 0
	for _, r := range records {
		if len(r) > s.opt.MaxPayload {
			return 0, fmt.Errorf("%s: record of %d bytes exceeds the limit of %d bytes", s.opt.Dir, len(r), s.opt.MaxPayload)
		}
		size += recordHeaderSize + len(r)
	}
	return size, nil
}

// encodeRecords returns records in the format of the log, preceded by the log's header if withHeader is set.
func (s *Store) encodeRecords(records [][]byte, size int, withHeader bool) []byte {
	b := make([]byte, 0, logHeaderSize+size)
	if withHeader {
		b = append(b, logMagic...)
		b = binary.LittleEndian.AppendUint64(b, s.snapshotSeq)
		b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
	}
	for i, r := range records {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)))
		b = binary.LittleEndian.AppendUint64(b, recordChecksum(s.snapshotSeq, s.recordCount+uint64(i), r))
		b = append(b, r...)
	}
	return b
}

// LogSize returns the size in bytes of the records appended since the last snapshot, with their headers. Replay has to read
// them.
func (s *Store) LogSize() int { return s.logSize }

// recordChecksum returns the checksum of a record, its length and its position, which is the log's sequence number and the
// record's index in the log.
func recordChecksum(seq, index uint64, record []byte) uint64 {
	var position [8 + 8 + recordLengthSize]byte
	binary.LittleEndian.PutUint64(position[:], seq)
	binary.LittleEndian.PutUint64(position[8:], index)
	binary.LittleEndian.PutUint32(position[16:], uint32(len(record)))
	digest := xxhash.New()
	_, _ = digest.Write(position[:]) // the Write of a digest never fails
	_, _ = digest.Write(record)
	return digest.Sum64()
}

// decodeLog calls apply with each record of a log, in order. It stops at the first damaged record or when apply fails, and
// returns the error.
func decodeLog(seq uint64, content []byte, apply func(record []byte) error) error {
	if !validLogHeader(seq, content) {
		return ErrUnrecognized
	}
	rest := content[logHeaderSize:]
	for i := uint64(0); len(rest) > 0; i++ {
		if len(rest) < recordHeaderSize {
			return ErrTruncated
		}
		length := uint64(binary.LittleEndian.Uint32(rest))
		if length > uint64(len(rest)-recordHeaderSize) {
			return ErrTruncated
		}
		record := rest[recordHeaderSize : recordHeaderSize+length : recordHeaderSize+length]
		if binary.LittleEndian.Uint64(rest[recordLengthSize:]) != recordChecksum(seq, i, record) {
			return ErrChecksum
		}
		if err := apply(record); err != nil {
			return err
		}
		rest = rest[recordHeaderSize+length:]
	}
	return nil
}

// validLogHeader reports whether content begins with a valid header for the log with a sequence number.
func validLogHeader(seq uint64, content []byte) bool {
	const checksumAt = logHeaderSize - checksumSize
	return len(content) >= logHeaderSize &&
		string(content[:len(logMagic)]) == logMagic &&
		binary.LittleEndian.Uint64(content[len(logMagic):]) == seq &&
		binary.LittleEndian.Uint64(content[checksumAt:]) == xxhash.Sum64(content[:checksumAt])
}

// Replay calls apply, in order, with the records appended after a snapshot that Load returned. seq is the sequence number of
// that snapshot. Replay stops at the first damaged record or when apply fails, and returns the reason. The records applied
// before are valid. A record that is damaged because of a crash is one whose Append had not returned nil. Replay returns nil if
// there is no log or the log was read to its end.
func Replay(o Options, seq uint64, apply func(record []byte) error) *SkippedFile {
	o.setDefaults()
	path := o.logPath(seq)
	content, err := o.FS.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = decodeLog(seq, content, apply)
	}
	if err != nil {
		return &SkippedFile{File: path, Reason: err}
	}
	return nil
}
