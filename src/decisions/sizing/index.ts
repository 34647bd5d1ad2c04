/** Learns sizes of work from usage, and relieves overloaded VMs. */
export * from "./pressure_policy.ts";
export * from "./usage_learner.ts";
