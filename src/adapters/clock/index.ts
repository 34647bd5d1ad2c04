/** Clocks. */
export * from "./system_clock.ts";
