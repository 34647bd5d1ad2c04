/** Decides which backend servers are out of service for their failures. */
export * from "./health_policy.ts";
export * from "./outlier_health_policy.ts";
export * from "./work_evidence.ts";
