/** Decides whether a request may wait. */
export * from "./overload_policy.ts";
export * from "./team_backlog.ts";
