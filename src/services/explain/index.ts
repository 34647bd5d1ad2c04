/** Descriptions of the current state of resources and actions. */
export * from "./state_describer.ts";
