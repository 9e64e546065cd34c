package state

import (
	"maps"
	"slices"

	"umberbank/internal/coordination/disruption"
)

// RestoreBackup returns the State that replaces running when a backup is restored. It has the instances and limits of the
// backup, in an epoch later than both, so that no revision is used twice and watchers get the full list. What a restore cannot
// undo is taken from running: the replicas, the elected controller, the rollout if it has nodes, the permits, and the records.
// Unreachable units of running are added unless the backup has them. The results for repeated writes are dropped, so that a
// write that is repeated after the restore is applied again.
func RestoreBackup(backup, running *State) *State {
	epoch := max(Epoch(backup.revision), Epoch(running.revision)) + 1
	s := New()
	s.revision, s.instances, s.members = epoch<<epochShift, maps.Clone(backup.instances), maps.Clone(running.members)
	s.preserveController(running)
	coordination := backup.coordinationSnapshot()
	coordination.Ejected = nil
	if len(running.rollout.Nodes) > 0 {
		coordination.Rollout, coordination.Settings = running.rollout, running.settings
	}
	for _, instance := range running.coordinationSnapshot().Unreachable {
		if backup.unreachable[instance.UID] == nil {
			coordination.Unreachable = append(coordination.Unreachable, instance)
		}
	}
	coordination.Permits = s.mergePermits(coordination.Permits, running)
	// The running State's records come last and override those of the backup under the same key. A record that was deleted
	// since the backup exists again: for example, a release whose halt was lifted is halted again.
	coordination.Records = append(coordination.Records, running.Records("")...)
	s.loadCoordination(coordination)
	return s
}

// preserveController removes the elected controller of the backup and adds that of the running State, if any. Otherwise a
// controller that has lost its lease since the backup could write again.
func (s *State) preserveController(running *State) {
	maps.DeleteFunc(s.instances, func(_ string, instance *Instance) bool { return instance.Role == RoleController })
	for uid, instance := range running.instances {
		if instance.Role == RoleController {
			s.instances[uid] = instance
		}
	}
}

// mergePermits returns the permits of the running State, and those of the backup whose units are not in the running State.
// Servers that permits of the running State have taken out of service are set to Draining.
func (s *State) mergePermits(backupPermits []*disruption.Permit, running *State) []*disruption.Permit {
	permits := slices.DeleteFunc(backupPermits, func(p *disruption.Permit) bool { return running.unit(p.Unit) != nil })
	for _, p := range running.budget.Permits() {
		kept := *p
		kept.SeenUnavailable = false // the unit has not been seen unavailable in the new epoch
		permits = append(permits, &kept)
		if instance := s.instances[p.Unit]; instance != nil && p.Begun && p.StartTimeMS >= instance.StartTimeMS && instance.Role == "" {
			draining := *instance
			draining.State, draining.ModRevision = Draining, s.revision
			s.instances[p.Unit] = &draining
		}
	}
	return permits
}
