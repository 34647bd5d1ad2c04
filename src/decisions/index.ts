/** Decisions: policies as interfaces with classes, free of codec and socket. */
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
