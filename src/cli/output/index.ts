/** Output for people. */
export * from "./explanation.ts";
export * from "./plan.ts";
export * from "./table.ts";
