/** Decides which requests may use a queue. */
export * from "./admission.ts";
