/** Reads the time and waits. */
export * from "./system_clock.ts";
