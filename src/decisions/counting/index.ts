/** Counts recent events. */
export * from "./window_counter.ts";
