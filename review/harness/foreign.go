package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// The deployment of foreignAnswer: the smallest of amman-main's first tier, with its usual rate.
const (
	foreignServers  = 9
	foreignInterval = time.Second / 120
	foreignDuration = 45 * time.Second
	foreignService  = 50 * time.Millisecond
	// One of secondAnswerEvery answers is sent a second time, at least secondAnswerSoonest and at most secondAnswerLatest late.
	secondAnswerEvery   = 50
	secondAnswerSoonest = 2 * time.Millisecond
	secondAnswerLatest  = 10 * time.Millisecond
)

// foreignAnswer lets servers send some answers a second time, some milliseconds late. No client may get an answer that was
// made for another request.
func foreignAnswer(p *play) error {
	var secondAnswer func(int) time.Duration
	if p.trouble {
		secondAnswer = func(number int) time.Duration {
			if rand.IntN(secondAnswerEvery) != 0 {
				return 0
			}
			return secondAnswerSoonest + rand.N(secondAnswerLatest-secondAnswerSoonest)
		}
	}
	l := list{Revision: 41, Full: true}
	for i := range foreignServers {
		s, err := p.startServer(fmt.Sprintf("s%d", i), foreignService, secondAnswer)
		if err != nil {
			return err
		}
		l.Targets = append(l.Targets, target{UID: s.name, Endpoint: s.addr, Zone: "amman-dc", Kind: "gw-fast", State: "SERVING", Weight: 1})
	}
	source, err := p.startDiscovery(l)
	if err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	config := newNodeConfig("n0", listen, source.addr)
	config.Known = l
	if _, err := p.startNode(config); err != nil {
		return err
	}
	if err := awaitOK("http://" + listen + "/health/ready"); err != nil {
		return err
	}
	clients := newLoad(p, listen)
	clients.run(foreignInterval, foreignDuration)
	p.logf("%d requests; answers by status (0: none): %v; foreign answers: %d", clients.asked, clients.answers, len(clients.foreign))
	if clients.answers[200] < clients.asked/2 {
		return errors.New("under half of the requests were served")
	}
	if len(clients.foreign) > 0 {
		return fmt.Errorf("%w: %d of %d requests were served with the answer to another, the first: %s",
			errBroken, len(clients.foreign), clients.asked, clients.foreign[0])
	}
	return nil
}
