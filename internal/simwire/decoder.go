package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"umberbank/balancer"
)

const (
	// readBufferSize is the size of the buffer for input, in bytes.
	readBufferSize = 1 << 20
	// listCount is the number of endpoint lists that can be kept at once.
	listCount = 16
	// noInstance stands for the missing instance before the first "about" of a batch.
	noInstance = -1
)

// Decoder reads messages one at a time.
type Decoder struct {
	reader   *bufio.Reader
	line     int // number of the last line read
	inBatch  bool
	instance int
	lists    [listCount][]balancer.Endpoint
}

// NewDecoder returns a Decoder that reads r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, readBufferSize), instance: noInstance}
}

// Next returns the next message. It returns io.EOF if the input ends after a complete line outside a batch. Any other
// error contains the line number.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) && !d.inBatch {
			return Message{}, io.EOF
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return Message{}, fmt.Errorf("line %d: input ends inside a batch", d.line+1)
		}
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line+1, err)
		}
		if line == "" {
			continue
		}
		m, complete, err := d.decode(line)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if complete {
			return m, nil
		}
	}
}

// readLine returns the next line without its line ending. At the end of the input it returns io.EOF, or
// io.ErrUnexpectedEOF if the last line has no line ending.
func (d *Decoder) readLine() (string, error) {
	s, err := d.reader.ReadString('\n')
	if errors.Is(err, io.EOF) {
		if s == "" {
			return "", io.EOF
		}
		return "", io.ErrUnexpectedEOF
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), err
}

// decode decodes one line. complete is false for a line that only changes the decoder's state.
func (d *Decoder) decode(line string) (m Message, complete bool, err error) {
	name, values, _ := strings.Cut(line, "\t")
	if err := d.checkOrder(name); err != nil {
		return m, false, err
	}
	f := &fields{name: name, parts: strings.Split(values, "\t")}
	m.Instance = d.instance
	switch name {
	case "about":
		return m, false, d.decodeInstance(f)
	case "list":
		return m, false, d.decodeList(f)
	case "sync":
		m.Kind, m.Now = BatchStart, f.milliseconds(0)
		d.inBatch, d.instance = true, noInstance
	case "eob":
		m.Kind = BatchEnd
		d.inBatch = false
	case "hello":
		m.Kind = InstanceInit
		m.Seed, m.Settings, f.err = decodeHello(f, values)
	case "crash_now":
		m.Kind = InstanceKill
	case "checked", "mail":
		m.Kind = Ignored
	default:
		decodeEvent := eventDecoders[name]
		if decodeEvent == nil {
			return m, false, fmt.Errorf("unknown message %s", quote(name))
		}
		m.Kind, m.Event = Event, decodeEvent(d, f)
	}
	return m, true, f.err
}

// checkOrder returns an error if a message is not allowed at this point of the input.
func (d *Decoder) checkOrder(name string) error {
	if name == "sync" && d.inBatch {
		return errors.New("sync inside a batch")
	}
	if name != "sync" && !d.inBatch {
		return fmt.Errorf("%s outside a batch", quote(name))
	}
	switch name {
	case "sync", "eob", "list", "about":
		return nil
	}
	if d.instance < 0 {
		return fmt.Errorf("%s before any about", quote(name))
	}
	return nil
}

// decodeInstance sets the instance that the following messages are for.
func (d *Decoder) decodeInstance(f *fields) error {
	d.instance = f.integer(0)
	if f.err == nil && d.instance < 0 {
		f.fail(0, "is negative")
	}
	return f.err
}

// decodeHello returns the seed and the settings of a new instance.
func decodeHello(f *fields, values string) (uint64, balancer.Settings, error) {
	seed, text, ok := strings.Cut(values, "\t")
	if !ok {
		return 0, balancer.Settings{}, errors.New("hello: settings are missing")
	}
	f.parts[0] = seed
	value := f.seed(0)
	if f.err != nil {
		return value, balancer.Settings{}, f.err
	}
	settings, _, err := ParseSettings([]byte(text))
	return value, settings, err
}

// decodeList reads the items of an endpoint list and stores the list under its number.
func (d *Decoder) decodeList(f *fields) error {
	number, length := f.integer(0), f.integer(1)
	if f.err != nil {
		return f.err
	}
	if number < 0 || number >= len(d.lists) || length < 0 {
		return errors.New("list number or length out of range")
	}
	var endpoints []balancer.Endpoint
	for i := range length {
		line, err := d.readLine()
		if err != nil {
			return fmt.Errorf("list ends after %d of %d items", i, length)
		}
		name, values, _ := strings.Cut(line, "\t")
		if name != "item" {
			return fmt.Errorf("want item %d of %d, got %s", i+1, length, quote(name))
		}
		item := &fields{name: name, parts: strings.Split(values, "\t")}
		endpoint := decodeEndpoint(item)
		if item.err != nil {
			return item.err
		}
		endpoints = append(endpoints, endpoint)
	}
	d.lists[number] = endpoints
	return nil
}

// decodeEndpoint decodes one item of a list.
func decodeEndpoint(f *fields) balancer.Endpoint {
	return balancer.Endpoint{
		ID:        f.text(0),
		Zone:      f.text(1),
		Cell:      f.integer(3),
		Weight:    f.optionalNumber(5),
		StartTime: f.optionalMilliseconds(6),
		State:     f.endpointState(4),
	}
}
