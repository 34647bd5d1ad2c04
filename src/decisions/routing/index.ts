/** Chooses backend servers. */
export * from "./backend_picker.ts";
