/**
 * Policies and other decisions of the daemons. They do no input or output and
 * know nothing of message encodings.
 */
export * from "./admission/index.ts";
export * from "./budgets/index.ts";
export * from "./counting/index.ts";
export * from "./fairness/index.ts";
export * from "./fleet/index.ts";
export * from "./health/index.ts";
export * from "./maintenance/index.ts";
export * from "./moves/index.ts";
export * from "./overload/index.ts";
export * from "./retries/index.ts";
export * from "./routing/index.ts";
export * from "./scheduling/index.ts";
export * from "./sizing/index.ts";
