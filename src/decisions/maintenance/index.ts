/** Decisions on the maintenance of VMs and on zones that return to service. */
export * from "./forecast.ts";
export * from "./wave_policy.ts";
export * from "./zone_return.ts";
