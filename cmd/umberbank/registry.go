package main

// registryCmd groups the commands of the registry.
type registryCmd struct {
	Serve     registryServeCmd     `name:"serve" cmd:"" help:"Run a replica. Without a configuration file it is a registry of one replica."`
	Status    registryStatusCmd    `name:"status" cmd:"" help:"Print the status of each replica."`
	Get       registryGetCmd       `name:"get" cmd:"" help:"Print instances."`
	Watch     registryWatchCmd     `name:"watch" cmd:"" help:"Print changes as they occur."`
	Put       registryPutCmd       `name:"put" cmd:"" help:"Register servers from a JSON file."`
	Drain     registryDrainCmd     `name:"drain" cmd:"" help:"Drain servers: nodes send them no new requests."`
	Restore   registryRestoreCmd   `name:"restore" cmd:"" help:"Replace the content of the registry with a backup, in a new epoch."`
	Backup    registryBackupCmd    `name:"backup" cmd:"" help:"Write a backup of the registry to a file."`
	Remove    registryRemoveCmd    `name:"remove" cmd:"" help:"Remove servers."`
	Members   registryMembersCmd   `name:"members" cmd:"" help:"Print the replicas, or add or remove one."`
	Bench     registryBenchCmd     `name:"bench" cmd:"" help:"Measure a registry of three replicas."`
	FaultTest registryFaultTestCmd `name:"fault-test" aliases:"trial" cmd:"" help:"Inject faults into registries of real processes and check the responses that clients receive."`
}
