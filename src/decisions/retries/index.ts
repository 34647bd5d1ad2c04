/** Decides whether an attempt may be repeated. */
export * from "./retry_budget.ts";
