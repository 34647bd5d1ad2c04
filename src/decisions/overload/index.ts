/** Decides whether requests may wait, and how long. */
export * from "./overload_policy.ts";
export * from "./team_backlog.ts";
