/** Availability budgets. */
export * from "./budget_policy.ts";
export * from "./domain_budget_policy.ts";
