/** Decides which backend servers get no work because of failures. */
export * from "./health_policy.ts";
export * from "./outlier_health_policy.ts";
export * from "./work_evidence.ts";
