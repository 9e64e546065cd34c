package virtual

import "time"

// link is the current state of a link between a node and a server. forward is the direction to the server.
type link struct {
	forward, backward         time.Duration // latency of a message
	lostForward, lostBackward bool          // whether messages are lost
	refused                   bool          // whether new connections are refused
}

// messageBytes is the assumed size of a request or a response, in bytes, on links with a limited rate.
const messageBytes = 300

// link returns the state of a link with all its impairments. Half of the jitter of an impairment is added as a constant delay.
func (f *Fleet) link(n, s int) link {
	base := f.world.Site.Network.SameZone.Std()
	if f.world.Site.Nodes[n].Zone != f.world.Site.Servers[s].Zone {
		base = f.world.Site.Network.CrossZone.Std()
	}
	l := link{forward: base, backward: base}
	for _, e := range f.links[nodeServer{n, s}] {
		extra := e.Delay + e.Jitter/2
		if e.BytesPerSecond > 0 {
			extra += messageBytes * time.Second / time.Duration(e.BytesPerSecond)
		}
		if e.ToServer {
			l.forward += extra
			l.lostForward = l.lostForward || e.Stall
		}
		if e.ToNode {
			l.backward += extra
			l.lostBackward = l.lostBackward || e.Stall
		}
		l.refused = l.refused || e.Refuse
	}
	return l
}
