/** Look-ups over the configuration in force and the state of the fleet. */
export * from "./decision_cause.ts";
export * from "./fleet_index.ts";
export * from "./fleet_view.ts";
export * from "./lost_work.ts";
export * from "./pool_claims.ts";
export * from "./pool_zones_out.ts";
export * from "./zones_out.ts";
