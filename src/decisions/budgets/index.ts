/** Decides whether availability budgets allow taking VMs out of service. */
export * from "./budget_policy.ts";
export * from "./domain_budget_policy.ts";
