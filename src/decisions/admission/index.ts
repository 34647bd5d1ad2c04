/** Decides who may use a queue. */
export * from "./admission.ts";
