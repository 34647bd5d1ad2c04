/** Text output of the commands. */
export * from "./explanation.ts";
export * from "./plan.ts";
export * from "./table.ts";
