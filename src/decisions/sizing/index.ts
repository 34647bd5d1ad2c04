/** Sizes learned from usage, and relief of VMs under pressure. */
export * from "./pressure_policy.ts";
export * from "./usage_learner.ts";
