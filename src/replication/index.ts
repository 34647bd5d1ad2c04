/** Replication of the durable state behind the agreement port. */
export * from "./commit_rule.ts";
export * from "./replica.ts";
export type { ReplicaOptions } from "./replica_options.ts";
export * from "./timing.ts";
