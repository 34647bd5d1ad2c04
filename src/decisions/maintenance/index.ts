/** Maintenance of VMs and zones. */
export * from "./wave_policy.ts";
