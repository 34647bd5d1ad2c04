/** Explanations of the present state. */
export * from "./state_describer.ts";
