/** Policies: interfaces with classes, free of codecs and sockets. */
export * from "./admission/index.ts";
export * from "./budgets/index.ts";
export * from "./fleet/index.ts";
export * from "./maintenance/index.ts";
export * from "./moves/index.ts";
export * from "./routing/index.ts";
export * from "./sizing/index.ts";
