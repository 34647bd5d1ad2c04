/** Explanations of the present state. */
export * from "./present_state.ts";
