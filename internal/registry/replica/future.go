package replica

import "github.com/hashicorp/raft"

// wait returns the result of a request to raft, or raft.ErrRaftShutdown once Close has been called. Raft may accept a request
// while it shuts down and then never answer it. The goroutine that waits for such a request remains until the process ends.
func (r *Replica) wait(future raft.Future) error {
	result := make(chan error, 1)
	go func() { result <- future.Error() }()
	select {
	case err := <-result:
		return err
	case <-r.closing:
		return raft.ErrRaftShutdown
	}
}

// startBarrier starts a wait until everything that was committed before has been applied, and returns the channel on which its
// result is sent. Only the leader can do this.
func (r *Replica) startBarrier() <-chan error {
	result := make(chan error, 1)
	go func() { result <- r.catchUp() }()
	return result
}
