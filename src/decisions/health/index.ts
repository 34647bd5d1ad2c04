/** Decides which backend servers and runners get less work for failures. */
export * from "./health_policy.ts";
export * from "./outlier_health_policy.ts";
export * from "./runner_paces.ts";
export * from "./runner_trust_policy.ts";
export * from "./work_evidence.ts";
