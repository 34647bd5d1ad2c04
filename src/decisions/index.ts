/** Decisions: policies as interfaces with classes, free of codec and socket. */
export * from "./admission/index.ts";
export * from "./fairness/index.ts";
export * from "./fleet/index.ts";
export * from "./routing/index.ts";
