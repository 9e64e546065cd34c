package simwire

import "umberbank/balancer"

// eventDecoders maps each message that carries an event to its decoder. Decoders store errors in fields.err.
var eventDecoders = map[string]func(*Decoder, *fields) balancer.Event{
	"announce":         decodeAnnounce,
	"job_in":           decodeRequest,
	"ring":             decodeTimer,
	"outcome":          decodeOutcome,
	"timed_out_client": decodeDisconnect,
	"flowing":          decodeResponseStarted,
}

// Modes of an "announce" message.
const (
	announceChanges = iota
	announceFull
	announceCached
	announceFailed
)

// Flags of a "job_in" message.
const (
	flagHasCost     = 1 << iota // value 7 is the request's cost
	flagClientRetry             // the request is a client's retry
)

func decodeAnnounce(d *Decoder, f *fields) balancer.Event {
	mode := f.integer(0)
	switch mode {
	case announceChanges, announceFull, announceCached:
		number := f.integer(1)
		if f.err != nil {
			return nil
		}
		if number < 0 || number >= len(d.lists) {
			f.fail(1, "is not a list number")
			return nil
		}
		return balancer.EndpointUpdate{
			Full:      mode != announceChanges,
			Cached:    mode == announceCached,
			Endpoints: d.lists[number],
		}
	case announceFailed:
		return balancer.SubscriptionFailed{}
	}
	f.fail(0, "is not a mode")
	return nil
}

func decodeRequest(_ *Decoder, f *fields) balancer.Event {
	r := balancer.Request{
		ID:          f.text(0),
		Deadline:    f.milliseconds(1),
		Class:       f.text(3),
		ClientRetry: f.optionalInteger(4)&flagClientRetry != 0,
	}
	if f.optionalInteger(4)&flagHasCost != 0 {
		r.CostHint = f.optionalMilliseconds(6)
	}
	return r
}

func decodeTimer(_ *Decoder, f *fields) balancer.Event {
	return balancer.TimerFired{Token: f.text(0)}
}

func decodeOutcome(_ *Decoder, f *fields) balancer.Event {
	return balancer.Outcome{
		ID:          f.text(0),
		Endpoint:    f.text(1),
		Latency:     f.milliseconds(2),
		RequestDone: f.text(3) == "1",
		Attempt:     f.integer(4),
		Result:      f.result(5),
		Load:        f.loadReport(6),
	}
}

func decodeDisconnect(_ *Decoder, f *fields) balancer.Event {
	return balancer.ClientDisconnected{ID: f.text(0)}
}

func decodeResponseStarted(_ *Decoder, f *fields) balancer.Event {
	return balancer.ResponseStarted{ID: f.text(0), Attempt: f.integer(3)}
}
