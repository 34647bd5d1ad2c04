/** Replication of the durable state by a consensus protocol similar to Raft. */
export * from "./commit_rule.ts";
export * from "./replica.ts";
export type { ReplicaOptions } from "./replica_options.ts";
export * from "./timing.ts";
