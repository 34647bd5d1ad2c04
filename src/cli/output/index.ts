/** Output for people. */
export * from "./explanation.ts";
export * from "./table.ts";
