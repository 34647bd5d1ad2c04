/** Counts of recent events. */
export * from "./window_counter.ts";
