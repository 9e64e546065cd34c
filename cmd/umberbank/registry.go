package main

// registryCmd groups the commands of the registry.
type registryCmd struct {
	Serve     registryServeCmd     `name:"serve" cmd:"" help:"Run one replica; alone it is a whole registry."`
	Status    registryStatusCmd    `name:"status" cmd:"" help:"Show what each replica says of itself."`
	Get       registryGetCmd       `name:"get" cmd:"" help:"Show entries."`
	Watch     registryWatchCmd     `name:"watch" cmd:"" help:"Show changes as they come."`
	Put       registryPutCmd       `name:"put" cmd:"" help:"Enter servers, from a file of JSON."`
	Drain     registryDrainCmd     `name:"drain" cmd:"" help:"Tell nodes to send servers nothing new."`
	Restore   registryRestoreCmd   `name:"restore" cmd:"" help:"Put a backup in the place of what the registry holds, in a new epoch."`
	Backup    registryBackupCmd    `name:"backup" cmd:"" help:"Write all that the registry holds to a file."`
	Remove    registryRemoveCmd    `name:"remove" cmd:"" help:"Take servers out."`
	Members   registryMembersCmd   `name:"members" cmd:"" help:"Show the replicas, take one in or out."`
	Bench     registryBenchCmd     `name:"bench" cmd:"" help:"Measure a registry of three processes."`
	FaultTest registryFaultTestCmd `name:"fault-test" aliases:"trial" cmd:"" help:"Play faults on registries of real processes, and judge what their users saw."`
}
