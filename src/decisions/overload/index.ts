/** Decides which requests may wait, how long, and which connections stay open. */
export * from "./connection_policy.ts";
export * from "./overload_policy.ts";
export * from "./team_backlog.ts";
