/** Permits for all entries of a deployment, granted by one coordinator. */
export * from "./fleet_permit_source.ts";
export * from "./permit_coordinator.ts";
export * from "./permit_id.ts";
export * from "./permit_ledger.ts";
export * from "./permit_messages.ts";
export * from "./permit_reporter.ts";
export * from "./permit_times.ts";
