/** Maintenance of VMs and zones. */
export * from "./forecast.ts";
export * from "./wave_policy.ts";
export * from "./zone_return.ts";
