/** Chooses backend servers. */
export * from "./backend_health.ts";
export * from "./backend_picker.ts";
